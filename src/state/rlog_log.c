#include <string.h>

#include "state/rlog_i.h"

/* Returns the index of the last entry, durable or not. */
uint64_t
rlog_last_index(const struct rlog *rlog)
{
	return rlog->base_index + rlog->slot_count;
}

/* Returns the term of the last entry. */
uint64_t
rlog_last_term(const struct rlog *rlog)
{
	return rlog->slot_count > 0 ? rlog->slots[rlog->slot_count - 1].term
				    : rlog->base_term;
}

/*
 * Sets *term to the term of an entry; returns false if the log doesn't have it.
 */
bool
rlog_term_at(const struct rlog *rlog, uint64_t index, uint64_t *term)
{
	if (index < rlog->base_index || index > rlog_last_index(rlog))
		return false;
	*term = index == rlog->base_index
		    ? rlog->base_term
		    : rlog->slots[index - rlog->base_index - 1].term;
	return true;
}

/* Returns the entry at an index, which has to be in the log. */
struct rlog_slot *
rlog_slot_at(struct rlog *rlog, uint64_t index)
{
	return &rlog->slots[index - rlog->base_index - 1];
}

/*
 * Returns the entry at an index for messages and actions; its data stays owned
 * by the log.
 */
struct rlog_entry
rlog_entry_at(struct rlog *rlog, uint64_t index)
{
	const struct rlog_slot *slot = rlog_slot_at(rlog, index);
	struct rlog_entry entry = {
	    index, slot->term, slot->kind, slot->data, slot->len};

	return entry;
}

enum {
	/* Memory overhead of an entry, besides its data. */
	ENTRY_COST_BYTES = 64
};

static uint64_t
end_bytes(struct rlog *rlog, uint64_t index)
{
	if (rlog->slot_count == 0)
		return 0;
	if (index <= rlog->base_index)
		return rlog->slots[0].end_bytes - rlog->slots[0].len -
		       ENTRY_COST_BYTES;
	return rlog_slot_at(rlog, index)->end_bytes;
}

/*
 * Returns the size in bytes, with overhead, of the entries after one index up
 * to and including another.
 */
uint64_t
rlog_bytes_between(struct rlog *rlog, uint64_t after, uint64_t to)
{
	return to > after ? end_bytes(rlog, to) - end_bytes(rlog, after) : 0;
}

/* Appends an entry in memory; the caller persists it. */
struct rlog_slot *
rlog_log_append(struct rlog *rlog, uint64_t term, enum rlog_entry_kind kind,
    const void *data, size_t len)
{
	struct rlog_slot *slot;
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
	if (kind == RLOG_ENTRY_MEMBERS)
		rlog_config_reload(rlog);
	return slot;
}

static void
free_slot(struct rlog *rlog, struct rlog_slot *slot, int error)
{
	if (slot->token != 0)
		rlog_refuse(rlog, slot->token, error);
	rlog_free_later(rlog, slot->data);
}

/*
 * Removes the entry at an index and all later ones.  Entries of another leader
 * replace them, so proposals made here are known to have failed.
 */
void
rlog_log_truncate(struct rlog *rlog, uint64_t from)
{
	while (rlog_last_index(rlog) >= from && rlog->slot_count > 0) {
		free_slot(
		    rlog, &rlog->slots[rlog->slot_count - 1], ERR_NOT_LEADER);
		rlog->slot_count--;
	}
	if (rlog->durable > rlog_last_index(rlog))
		rlog->durable = rlog_last_index(rlog);
	if (rlog->verified_index > rlog_last_index(rlog))
		rlog->verified_index = rlog_last_index(rlog);
	rlog_config_reload(rlog);
}

/*
 * Drops the entries up to an index that a snapshot covers.  The outcome of
 * proposals among them is unknown here.
 */
void
rlog_log_compact(struct rlog *rlog, uint64_t index)
{
	struct rlog_config config = rlog->base_config;
	size_t count, i;

	if (index <= rlog->base_index)
		return;
	count = (size_t)(index - rlog->base_index);
	for (i = 0; i < count; i++) {
		if (rlog->slots[i].kind == RLOG_ENTRY_MEMBERS)
			(void)rlog_config_decode(
			    rlog->slots[i].data, rlog->slots[i].len, &config);
		free_slot(rlog, &rlog->slots[i], ERR_TIMEOUT);
	}
	rlog->base_term = rlog->slots[count - 1].term;
	rlog->base_index = index;
	rlog->base_config = config;
	rlog->slot_count -= count;
	memmove(rlog->slots, rlog->slots + count,
	    rlog->slot_count * sizeof(*rlog->slots));
	rlog_config_reload(rlog);
}

/*
 * Resets the log to start after a snapshot from the leader.  Later entries are
 * kept if the log matches the snapshot's last index and term; otherwise all are
 * dropped.
 */
void
rlog_log_reset(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rlog_config *config)
{
	uint64_t own_term;
	size_t i;

	if (rlog_term_at(rlog, index, &own_term) && own_term == term) {
		rlog_log_compact(rlog, index);
	} else {
		for (i = 0; i < rlog->slot_count; i++)
			free_slot(rlog, &rlog->slots[i], ERR_TIMEOUT);
		rlog->slot_count = 0;
	}
	rlog->base_index = index;
	rlog->base_term = term;
	rlog->base_config = *config;
	if (rlog->durable > rlog_last_index(rlog))
		rlog->durable = rlog_last_index(rlog);
	rlog_config_reload(rlog);
}
