#include <string.h>

#include "state/rlog_i.h"

/* Returns the index of the last entry, durable or not. */
uint64_t
rlog_last_index(const struct rl *rl)
{
	return rl->base_index + rl->slot_count;
}

/* Returns the term of the last entry. */
uint64_t
rlog_last_term(const struct rl *rl)
{
	return rl->slot_count > 0 ? rl->slots[rl->slot_count - 1].term
				  : rl->base_term;
}

/*
 * Sets *term to the term of an entry; returns false if the log doesn't have it.
 */
bool
rlog_term_at(const struct rl *rl, uint64_t index, uint64_t *term)
{
	if (index < rl->base_index || index > rlog_last_index(rl))
		return false;
	*term = index == rl->base_index
		    ? rl->base_term
		    : rl->slots[index - rl->base_index - 1].term;
	return true;
}

/* Returns the entry at an index, which has to be in the log. */
struct rlog_slot *
rlog_slot_at(struct rl *rl, uint64_t index)
{
	return &rl->slots[index - rl->base_index - 1];
}

/*
 * Returns the entry at an index for messages and actions; its data stays owned
 * by the log.
 */
struct rl_entry
rlog_entry_at(struct rl *rl, uint64_t index)
{
	const struct rlog_slot *slot = rlog_slot_at(rl, index);
	struct rl_entry entry = {
	    index, slot->term, slot->kind, slot->data, slot->len};

	return entry;
}

enum {
	/* Memory overhead of an entry, besides its data. */
	ENTRY_COST_BYTES = 64
};

static uint64_t
end_bytes(struct rl *rl, uint64_t index)
{
	if (rl->slot_count == 0)
		return 0;
	if (index <= rl->base_index)
		return rl->slots[0].end_bytes - rl->slots[0].len -
		       ENTRY_COST_BYTES;
	return rlog_slot_at(rl, index)->end_bytes;
}

/*
 * Returns the size in bytes, with overhead, of the entries after one index up
 * to and including another.
 */
uint64_t
rlog_bytes_between(struct rl *rl, uint64_t after, uint64_t to)
{
	return to > after ? end_bytes(rl, to) - end_bytes(rl, after) : 0;
}

/* Appends an entry in memory; the caller persists it. */
struct rlog_slot *
rlog_log_append(struct rl *rl, uint64_t term, enum rlog_entry_kind kind,
    const void *data, size_t len)
{
	struct rlog_slot *slot;
	uint64_t before;

	if (rl->slot_count == rl->slot_size) {
		rl->slot_size = rl->slot_size > 0 ? rl->slot_size * 2 : 64;
		rl->slots = alloc_resize(
		    rl->alloc, rl->slots, rl->slot_size * sizeof(*rl->slots));
	}
	before =
	    rl->slot_count > 0 ? rl->slots[rl->slot_count - 1].end_bytes : 0;
	slot = &rl->slots[rl->slot_count++];
	memset(slot, 0, sizeof(*slot));
	slot->term = term;
	slot->kind = kind;
	slot->len = len;
	slot->end_bytes = before + len + ENTRY_COST_BYTES;
	if (len > 0) {
		slot->data = alloc_get(rl->alloc, len);
		memcpy(slot->data, data, len);
	}
	if (kind == RLOG_ENTRY_MEMBERS)
		rlog_config_reload(rl);
	return slot;
}

static void
free_slot(struct rl *rl, struct rlog_slot *slot, int error)
{
	if (slot->token != 0)
		rlog_refuse(rl, slot->token, error);
	rlog_free_later(rl, slot->data);
}

/*
 * Removes the entry at an index and all later ones.  Entries of another leader
 * replace them, so proposals made here are known to have failed.
 */
void
rlog_log_truncate(struct rl *rl, uint64_t from)
{
	while (rlog_last_index(rl) >= from && rl->slot_count > 0) {
		free_slot(rl, &rl->slots[rl->slot_count - 1], ERR_NOT_LEADER);
		rl->slot_count--;
	}
	if (rl->durable > rlog_last_index(rl))
		rl->durable = rlog_last_index(rl);
	if (rl->verified_index > rlog_last_index(rl))
		rl->verified_index = rlog_last_index(rl);
	rlog_config_reload(rl);
}

/*
 * Drops the entries up to an index that a snapshot covers.  The outcome of
 * proposals among them is unknown here.
 */
void
rlog_log_compact(struct rl *rl, uint64_t index)
{
	struct rlog_config config = rl->base_config;
	size_t count, i;

	if (index <= rl->base_index)
		return;
	count = (size_t)(index - rl->base_index);
	for (i = 0; i < count; i++) {
		if (rl->slots[i].kind == RLOG_ENTRY_MEMBERS)
			(void)rlog_config_decode(
			    rl->slots[i].data, rl->slots[i].len, &config);
		free_slot(rl, &rl->slots[i], ERR_TIMEOUT);
	}
	rl->base_term = rl->slots[count - 1].term;
	rl->base_index = index;
	rl->base_config = config;
	rl->slot_count -= count;
	memmove(
	    rl->slots, rl->slots + count, rl->slot_count * sizeof(*rl->slots));
	rlog_config_reload(rl);
}

/*
 * Resets the log to start after a snapshot from the leader.  Later entries are
 * kept if the log matches the snapshot's last index and term; otherwise all are
 * dropped.
 */
void
rlog_log_reset(struct rl *rl, uint64_t index, uint64_t term,
    const struct rlog_config *config)
{
	uint64_t own_term;
	size_t i;

	if (rlog_term_at(rl, index, &own_term) && own_term == term) {
		rlog_log_compact(rl, index);
	} else {
		for (i = 0; i < rl->slot_count; i++)
			free_slot(rl, &rl->slots[i], ERR_TIMEOUT);
		rl->slot_count = 0;
	}
	rl->base_index = index;
	rl->base_term = term;
	rl->base_config = *config;
	if (rl->durable > rlog_last_index(rl))
		rl->durable = rlog_last_index(rl);
	rlog_config_reload(rl);
}
