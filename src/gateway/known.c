#include <string.h>

#include "gateway/known.h"

/* An odd number whose bits are spread over all 32; orders rows by a hash. */
static const uint32_t hash_factor = 2654435761U;

/* Returns the row of an instance, which is added; NULL without room. */
struct kn_row *
kn_get(struct kn *kn, uint32_t instance)
{
	struct kn_row *row;

	for (uint32_t i = 0; i < kn->count; i++) {
		if (kn->rows[i].instance == instance)
			return &kn->rows[i];
	}
	if (instance == 0 || kn->count == KN_MAX)
		return NULL;
	row = &kn->rows[kn->count++];
	memset(row, 0, sizeof(*row));
	row->instance = instance;
	if (kn->changed != NULL)
		kn->changed(kn->ctx);
	return row;
}

/* Notes that an instance was heard from; NULL without room for it. */
struct kn_row *
kn_heard(struct kn *kn, uint32_t instance, bool near, int64_t now_us)
{
	struct kn_row *row = kn_get(kn, instance);

	if (row != NULL) {
		row->heard_us = now_us;
		row->near = near;
	}
	return row;
}

/* Sets the seeds, which are never forgotten. */
void
kn_set_seeds(struct kn *kn, const uint32_t *seeds, uint32_t count)
{
	for (uint32_t i = 0; i < kn->count; i++)
		kn->rows[i].seed = false;
	for (uint32_t i = 0; i < count; i++) {
		struct kn_row *row = kn_get(kn, seeds[i]);

		if (row != NULL)
			row->seed = true;
	}
}

/* Forgets instances that serve control no longer, as far as one can tell. */
void
kn_forget_silent(struct kn *kn, int64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < kn->count; i++) {
		const struct kn_row *row = &kn->rows[i];

		if (row->seed || row->instance == kn->self ||
		    now_us - row->heard_us < KN_FORGET_US)
			kn->rows[kept++] = *row;
	}
	if (kept == kn->count)
		return;
	kn->count = kept;
	if (kn->changed != NULL)
		kn->changed(kn->ctx);
}

/* Lists the instances that serve control, this one included if it does. */
uint32_t
kn_list(const struct kn *kn, uint32_t *out, uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < kn->count && count < max; i++)
		out[count++] = kn->rows[i].instance;
	return count;
}

/* Whether an instance was heard from lately; this one is always alive. */
bool
kn_is_alive(const struct kn *kn, const struct kn_row *row, int64_t now_us)
{
	return row->instance == kn->self ||
	       (row->heard_us != 0 && now_us - row->heard_us < KN_ALIVE_US);
}

/* Returns an instance heard from lately, a near one first; 0 if none was. */
uint32_t
kn_nearest(const struct kn *kn, int64_t now_us)
{
	const struct kn_row *best = NULL;

	for (uint32_t i = 0; i < kn->count; i++) {
		const struct kn_row *row = &kn->rows[i];

		if (row->heard_us == 0 || now_us - row->heard_us > KN_ALIVE_US)
			continue;
		if (best == NULL || (row->near && !best->near) ||
		    (row->near == best->near && row->instance < best->instance))
			best = row;
	}
	return best != NULL ? best->instance : 0;
}

/*
 * Whether an instance is among those whose registries this one listens to: the
 * first few heard from lately, by a hash that differs at each instance, so that
 * the load spreads.
 */
bool
kn_is_subscribed(const struct kn *kn, uint32_t instance, int64_t now_us)
{
	uint32_t own = (instance ^ kn->self) * hash_factor;
	uint32_t before = 0;

	for (uint32_t i = 0; i < kn->count; i++) {
		const struct kn_row *row = &kn->rows[i];

		if (row->instance != instance && row->instance != kn->self &&
		    now_us - row->heard_us < KN_ALIVE_US &&
		    (row->instance ^ kn->self) * hash_factor < own)
			before++;
	}
	return before < KN_SUBSCRIBED;
}

/* Whether any other instance was ever heard from. */
bool
kn_anybody_heard(const struct kn *kn)
{
	for (uint32_t i = 0; i < kn->count; i++) {
		if (kn->rows[i].heard_us != 0)
			return true;
	}
	return false;
}
