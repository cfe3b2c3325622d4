#include "core/rollout.h"

struct ro {
	const struct alloc *alloc;
	const struct cfg *cfg;
	uint64_t served[CFG_VERSIONS_MAX];
};

/* Returns a watcher that stops nothing but what is not configured. */
struct ro *
ro_new(const struct alloc *alloc)
{
	struct ro *ro = alloc_zero(alloc, 1, sizeof(*ro));

	ro->alloc = alloc;
	return ro;
}

void
ro_free(struct ro *ro)
{
	alloc_free(ro->alloc, ro);
}

void
ro_configure(struct ro *ro, const struct cfg *cfg)
{
	ro->cfg = cfg;
}

uint64_t
ro_open(const struct ro *ro, uint16_t draw_permille)
{
	uint64_t open = 0;
	uint16_t i;

	for (i = 0; ro->cfg != NULL && i < ro->cfg->version_count; i++)
		if (ro->cfg->versions[i].state == CFG_ROLLING &&
		    draw_permille < ro->cfg->versions[i].stage_permille)
			open |= UINT64_C(1) << i;
	return open;
}

void
ro_served(struct ro *ro, uint16_t version, int64_t now_us)
{
	ro->served[version]++;
}

void
ro_outcome(struct ro *ro, uint16_t version, bool good, int64_t now_us)
{
}

void
ro_rated(struct ro *ro, uint16_t version, bool passed, int64_t now_us)
{
}

void
ro_latency(
    struct ro *ro, uint16_t version, uint32_t first_token_us, int64_t now_us)
{
}

bool
ro_stopped(const struct ro *ro, uint16_t version)
{
	return ro->cfg == NULL || version >= ro->cfg->version_count;
}

uint64_t
ro_exposure(const struct ro *ro, uint16_t version)
{
	return ro->served[version];
}
