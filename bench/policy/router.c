#include <stdlib.h>

#include "policy/policy.h"

/* The decision library itself, through include/celeryford.h. */

enum {
	REQUESTS_MAX = 4096,
	SESSIONS_MAX = 1024
};

struct routed {
	struct policy policy; /* first member */
	struct cf_router *router;
};

static void
routed_step(struct policy *policy, int64_t now_us, const struct cf_event *event,
    struct cf_actions *actions)
{
	cf_router_step(
	    ((struct routed *)policy)->router, now_us, event, actions);
}

static void
routed_release(struct policy *policy)
{
	cf_router_free(((struct routed *)policy)->router);
	free(policy);
}

static size_t
routed_digests(struct policy *policy, struct cf_digest *out, size_t max)
{
	return cf_router_digests(((struct routed *)policy)->router, out, max);
}

static const struct policy_vtable routed_vtable = {
    routed_step, routed_release, NULL, routed_digests};

static struct policy *
routed_make(
    const struct policy_kind *kind, const struct policy_options *options)
{
	struct cf_router_options o = {0};
	struct routed *r = calloc(1, sizeof(*r));

	(void)kind;
	o.seed = options->seed;
	o.data_centre = options->data_centre;
	o.instance = options->instance / WORLD_DATA_CENTRES;
	o.max_servers = options->servers;
	o.max_requests = REQUESTS_MAX;
	o.max_sessions = SESSIONS_MAX;
	r->policy.vtable = &routed_vtable;
	r->router = cf_router_new(&o);
	return &r->policy;
}

const struct policy_kind policy_router = {"celeryford", routed_make, true};
