#include <stdlib.h>

#include "policy/policy.h"

/* The policy that uses the decision library through celeryford.h. */

enum {
	REQUESTS_MAX = 4096,
	SESSIONS_MAX = 1024
};

struct router_policy {
	struct policy policy; /* first member */
	struct cf_router *router;
};

static void
router_policy_step(struct policy *policy, int64_t now_us,
    const struct cf_event *event, struct cf_actions *actions)
{
	cf_router_step(
	    ((struct router_policy *)policy)->router, now_us, event, actions);
}

static void
router_policy_release(struct policy *policy)
{
	cf_router_free(((struct router_policy *)policy)->router);
	free(policy);
}

static size_t
router_policy_digests(struct policy *policy, struct cf_digest *out, size_t max)
{
	return cf_router_digests(
	    ((struct router_policy *)policy)->router, out, max);
}

static const struct policy_vtable router_policy_vtable = {
    router_policy_step, router_policy_release, NULL, router_policy_digests};

static struct policy *
router_policy_make(
    const struct policy_kind *kind, const struct policy_options *options)
{
	struct cf_router_options o = {0};
	struct router_policy *r = calloc(1, sizeof(*r));

	(void)kind;
	o.seed = options->seed;
	o.data_centre = options->data_centre;
	o.instance = options->instance / WORLD_DATA_CENTRES;
	o.max_servers = options->servers;
	o.max_requests = REQUESTS_MAX;
	o.max_sessions = SESSIONS_MAX;
	r->policy.vtable = &router_policy_vtable;
	r->router = cf_router_new(&o);
	return &r->policy;
}

const struct policy_kind policy_router = {
    "celeryford", router_policy_make, true};
