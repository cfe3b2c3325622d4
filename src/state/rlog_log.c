#include <string.h>

#include "state/rlog_i.h"

/* Returns the index of the last entry, durable or not. */
uint64_t
rl_last_index(const struct rlog *rlog)
{
	return rlog->base_index + rlog->slot_count;
}

/* Returns the term of the last entry. */
uint64_t
rl_last_term(const struct rlog *rlog)
{
	return rlog->slot_count > 0 ? rlog->slots[rlog->slot_count - 1].term
				    : rlog->base_term;
}

/* Brings the term of an entry; false if the log does not have it. */
bool
rl_term_at(const struct rlog *rlog, uint64_t index, uint64_t *term)
{
	if (index < rlog->base_index || index > rl_last_index(rlog))
		return false;
	*term = index == rlog->base_index
		    ? rlog->base_term
		    : rlog->slots[index - rlog->base_index - 1].term;
	return true;
}

/* Returns the entry at an index that the log has. */
struct rl_slot *
rl_slot_at(struct rlog *rlog, uint64_t index)
{
	return &rlog->slots[index - rlog->base_index - 1];
}

/* Returns the entry at an index as others see it. */
struct rlog_entry
rl_entry_at(struct rlog *rlog, uint64_t index)
{
	const struct rl_slot *slot = rl_slot_at(rlog, index);
	struct rlog_entry entry = {
	    index, slot->term, slot->kind, slot->data, slot->len};

	return entry;
}

enum {
	ENTRY_COST_BYTES = 64 /* what an entry takes besides its data */
};

static uint64_t
end_bytes(struct rlog *rlog, uint64_t index)
{
	if (rlog->slot_count == 0)
		return 0;
	if (index <= rlog->base_index)
		return rlog->slots[0].end_bytes - rlog->slots[0].len -
		       ENTRY_COST_BYTES;
	return rl_slot_at(rlog, index)->end_bytes;
}

/* Returns the bytes of the entries after one index and up to another. */
uint64_t
rl_bytes_between(struct rlog *rlog, uint64_t after, uint64_t to)
{
	return to > after ? end_bytes(rlog, to) - end_bytes(rlog, after) : 0;
}

/* Appends an entry in memory. */
struct rl_slot *
rl_log_add(struct rlog *rlog, uint64_t term, enum rl_entry_kind kind,
    const void *data, size_t len)
{
	struct rl_slot *slot;
	uint64_t before;

	if (rlog->slot_count == rlog->slot_size) {
		rlog->slot_size =
		    rlog->slot_size > 0 ? rlog->slot_size * 2 : 64;
		rlog->slots = alloc_resize(rlog->alloc, rlog->slots,
		    rlog->slot_size * sizeof(*rlog->slots));
	}
	before = rlog->slot_count > 0
		     ? rlog->slots[rlog->slot_count - 1].end_bytes
		     : 0;
	slot = &rlog->slots[rlog->slot_count++];
	memset(slot, 0, sizeof(*slot));
	slot->term = term;
	slot->kind = kind;
	slot->len = len;
	slot->end_bytes = before + len + ENTRY_COST_BYTES;
	if (len > 0) {
		slot->data = alloc_get(rlog->alloc, len);
		memcpy(slot->data, data, len);
	}
	if (kind == RL_ENTRY_MEMBERS)
		rl_config_refresh(rlog);
	return slot;
}

static void
drop_slot(struct rlog *rlog, struct rl_slot *slot, int error)
{
	if (slot->token != 0)
		rl_refuse(rlog, slot->token, error);
	rl_discard(rlog, slot->data);
}

/*
 * Removes an index and all above it: another leader's entries take their
 * place, so what was proposed here is known not to be accepted.
 */
void
rl_log_truncate(struct rlog *rlog, uint64_t from)
{
	while (rl_last_index(rlog) >= from && rlog->slot_count > 0) {
		drop_slot(
		    rlog, &rlog->slots[rlog->slot_count - 1], ERR_NOT_LEADER);
		rlog->slot_count--;
	}
	if (rlog->durable > rl_last_index(rlog))
		rlog->durable = rl_last_index(rlog);
	if (rlog->verified > rl_last_index(rlog))
		rlog->verified = rl_last_index(rlog);
	rl_config_refresh(rlog);
}

/* Forgets entries up to an index that a snapshot covers. */
void
rl_log_cut(struct rlog *rlog, uint64_t index)
{
	struct rl_config config = rlog->base_config;
	size_t count, i;

	if (index <= rlog->base_index)
		return;
	count = (size_t)(index - rlog->base_index);
	for (i = 0; i < count; i++) {
		if (rlog->slots[i].kind == RL_ENTRY_MEMBERS)
			(void)rl_config_decode(
			    rlog->slots[i].data, rlog->slots[i].len, &config);
		drop_slot(rlog, &rlog->slots[i], ERR_TIMEOUT);
	}
	rlog->base_term = rlog->slots[count - 1].term;
	rlog->base_index = index;
	rlog->base_config = config;
	rlog->slot_count -= count;
	memmove(rlog->slots, rlog->slots + count,
	    rlog->slot_count * sizeof(*rlog->slots));
	rl_config_refresh(rlog);
}

/*
 * Starts the log after a snapshot from the leader.  Entries above it stay if
 * the log agrees with the snapshot; else all of them go.
 */
void
rl_log_reset(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rl_config *config)
{
	uint64_t own_term;
	size_t i;

	if (rl_term_at(rlog, index, &own_term) && own_term == term) {
		rl_log_cut(rlog, index);
	} else {
		for (i = 0; i < rlog->slot_count; i++)
			drop_slot(rlog, &rlog->slots[i], ERR_TIMEOUT);
		rlog->slot_count = 0;
	}
	rlog->base_index = index;
	rlog->base_term = term;
	rlog->base_config = *config;
	if (rlog->durable > rl_last_index(rlog))
		rlog->durable = rl_last_index(rlog);
	rl_config_refresh(rlog);
}
