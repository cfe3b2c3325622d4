#ifndef CF_HTTP_MEMORY_BUDGET_H
#define CF_HTTP_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The memory that a process may hold for callers and servers.  Whatever is
 * allocated through memory_budget_alloc() counts, with its allocated size.
 *
 * Levels, as shares of the total:
 *
 *	answers	an unfinished answer that is large is given up, of all of these
 *	large	a body that is no longer small is refused
 *	total	holders are closed until an eighth of the total is free
 *	hard	nothing more is taken, small bodies included; reached only if
 *		there is nobody to close
 */
enum {
	/* Bodies up to this size are small: refused at the hard level only. */
	MEMORY_SMALL_BYTES = 16 * 1024,
	/* Answers up to this size are not given up. */
	MEMORY_SMALL_ANSWER_BYTES = 64 * 1024,
	/* Of a stream, for a caller that reads more slowly than it comes */
	MEMORY_UNREAD_MIN_BYTES = 64 * 1024,
	MEMORY_UNREAD_MAX_BYTES = 1024 * 1024,
	/* A connection that holds less is not worth closing. */
	MEMORY_HOLDER_MIN_BYTES = 4 * 1024
};

enum memory_kind {
	MEMORY_CALLERS, /* connections: heads, bodies, unsent answers */
	MEMORY_ANSWERS, /* answers that are not complete yet */
	MEMORY_SERVERS, /* connections to servers: requests being sent */
	MEMORY_KIND_COUNT
};

/* A connection that can be closed to free memory. */
struct memory_holder {
	void *holder;
	size_t bytes; /* that closing it frees */
	int64_t progress_us; /* when it last sent or took a byte */
};

/* Connections of one kind, as a budget sees them. */
struct memory_shedder {
	/* Finds the holder to be closed first.  Returns false if none is. */
	bool (*find)(void *ctx, struct memory_holder *out);
	void (*close)(void *ctx, struct memory_holder *holder);
	void *ctx;
	struct memory_shedder *next;
};

struct memory_budget;

/* An allocator that counts. */
struct memory_account {
	struct alloc alloc;
	struct memory_budget *budget;
	enum memory_kind kind;
};

struct memory_budget {
	size_t total_bytes;
	size_t held_bytes;
	size_t held_by_kind[MEMORY_KIND_COUNT];
	/* Bodies that arrive: each is copied when it is sent to a server. */
	size_t reserved_bytes;
	uint64_t refused; /* requests */
	uint64_t closed; /* connections */
	bool is_short; /* short() was called, nothing was shed since */
	/* Called when the total is exceeded, within an allocation. */
	void (*on_short)(void *ctx);
	void *ctx;
	struct memory_account accounts[MEMORY_KIND_COUNT];
	struct memory_shedder *shedders;
};

void memory_budget_init(struct memory_budget *budget, size_t total_bytes,
    void (*on_short)(void *ctx), void *ctx);
const struct alloc *memory_budget_alloc(
    struct memory_budget *budget, enum memory_kind kind);
void memory_budget_register(
    struct memory_budget *budget, struct memory_shedder *shedder);
void memory_budget_unregister(
    struct memory_budget *budget, struct memory_shedder *shedder);
bool memory_budget_takes(
    const struct memory_budget *budget, size_t size, size_t extra);
bool memory_budget_keeps_answer(
    const struct memory_budget *budget, size_t size);
size_t memory_budget_unread_max(const struct memory_budget *budget);
bool memory_budget_closes_before(
    const struct memory_holder *a, const struct memory_holder *b);
uint32_t memory_budget_shed(struct memory_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
