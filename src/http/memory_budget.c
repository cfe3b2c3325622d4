#include "http/memory_budget.h"

#include <malloc.h>
#include <string.h>

/* The levels, in eighths of the total */
enum {
	ANSWERS_EIGHTHS = 3,
	PLENTY_EIGHTHS = 4,
	LARGE_EIGHTHS = 6,
	RELIEVED_EIGHTHS = 7, /* where closing stops */
	TOTAL_EIGHTHS = 8,
	HARD_EIGHTHS = 9
};

static size_t
level_bytes(const struct memory_budget *budget, size_t eighths)
{
	return budget->total_bytes / TOTAL_EIGHTHS * eighths;
}

static void
count(struct memory_account *account, size_t before, size_t after)
{
	struct memory_budget *budget = account->budget;

	budget->held_bytes += after;
	budget->held_bytes -= before;
	budget->held_by_kind[account->kind] += after;
	budget->held_by_kind[account->kind] -= before;
	if (after > before && !budget->is_short &&
	    budget->held_bytes > budget->total_bytes) {
		budget->is_short = true;
		if (budget->on_short != NULL)
			budget->on_short(budget->ctx);
	}
}

static void *
counted_resize(void *ctx, void *block, size_t size)
{
	size_t before = malloc_usable_size(block);

	block = alloc_resize(alloc_default(), block, size);
	count(ctx, before, malloc_usable_size(block));
	return block;
}

static void
counted_release(void *ctx, void *block)
{
	count(ctx, malloc_usable_size(block), 0);
	alloc_free(alloc_default(), block);
}

/* Initializes a budget that holds nothing.  on_short may be NULL. */
void
memory_budget_init(struct memory_budget *budget, size_t total_bytes,
    void (*on_short)(void *ctx), void *ctx)
{
	memset(budget, 0, sizeof(*budget));
	budget->total_bytes = total_bytes;
	budget->on_short = on_short;
	budget->ctx = ctx;
	for (int kind = 0; kind < MEMORY_KIND_COUNT; kind++) {
		struct memory_account *account = &budget->accounts[kind];

		account->alloc =
		    (struct alloc){counted_resize, counted_release, account};
		account->budget = budget;
		account->kind = (enum memory_kind)kind;
	}
}

/*
 * Returns an allocator whose blocks count toward the budget.  It is valid as
 * long as the budget.
 */
const struct alloc *
memory_budget_alloc(struct memory_budget *budget, enum memory_kind kind)
{
	return &budget->accounts[kind].alloc;
}

/* Adds connections that can be closed when the budget is short. */
void
memory_budget_register(
    struct memory_budget *budget, struct memory_shedder *shedder)
{
	shedder->next = budget->shedders;
	budget->shedders = shedder;
}

void
memory_budget_unregister(
    struct memory_budget *budget, struct memory_shedder *shedder)
{
	struct memory_shedder **at = &budget->shedders;

	while (*at != NULL && *at != shedder)
		at = &(*at)->next;
	if (*at != NULL)
		*at = shedder->next;
}

/*
 * Returns whether a request may take more memory.  size: what its body has with
 * that, in bytes.  extra: what is still to be allocated for it, the copy that
 * is sent to a server included.
 */
bool
memory_budget_takes(
    const struct memory_budget *budget, size_t size, size_t extra)
{
	if (size <= MEMORY_SMALL_BYTES)
		return budget->held_bytes + extra <=
		       level_bytes(budget, HARD_EIGHTHS);
	return budget->held_bytes + budget->reserved_bytes + extra <=
	       level_bytes(budget, LARGE_EIGHTHS);
}

/* Returns whether an unfinished answer of size bytes may be kept. */
bool
memory_budget_keeps_answer(const struct memory_budget *budget, size_t size)
{
	return size <= MEMORY_SMALL_ANSWER_BYTES ||
	       (budget->held_by_kind[MEMORY_ANSWERS] <=
		       level_bytes(budget, ANSWERS_EIGHTHS) &&
		   budget->held_bytes <= level_bytes(budget, HARD_EIGHTHS));
}

/*
 * Returns how much of a stream may wait for its caller before it is no longer
 * read.  A server gives up an answer that is not read, so it is read as long as
 * memory is plentiful.
 */
size_t
memory_budget_unread_max(const struct memory_budget *budget)
{
	return budget->held_bytes <= level_bytes(budget, PLENTY_EIGHTHS)
		   ? MEMORY_UNREAD_MAX_BYTES
		   : MEMORY_UNREAD_MIN_BYTES;
}

/*
 * Returns whether a is to be closed before b: of those that hold enough, the
 * one that has made no progress for longer, and of two alike the larger one.
 */
bool
memory_budget_closes_before(
    const struct memory_holder *a, const struct memory_holder *b)
{
	if (a->bytes < MEMORY_HOLDER_MIN_BYTES)
		return false;
	if (b->bytes < MEMORY_HOLDER_MIN_BYTES)
		return true;
	if (a->progress_us != b->progress_us)
		return a->progress_us < b->progress_us;
	return a->bytes > b->bytes;
}

/*
 * Closes connections until enough memory is free, if the budget is short.
 * Returns how many.
 */
uint32_t
memory_budget_shed(struct memory_budget *budget)
{
	uint32_t closed = 0;

	if (budget->held_bytes <= budget->total_bytes) {
		budget->is_short = false;
		return 0;
	}
	while (budget->held_bytes > level_bytes(budget, RELIEVED_EIGHTHS)) {
		struct memory_holder first = {NULL, 0, 0}, other;
		struct memory_shedder *owner = NULL;

		for (struct memory_shedder *s = budget->shedders; s != NULL;
		     s = s->next) {
			if (s->find(s->ctx, &other) &&
			    memory_budget_closes_before(&other, &first)) {
				first = other;
				owner = s;
			}
		}
		if (owner == NULL)
			break;
		owner->close(owner->ctx, &first);
		closed++;
	}
	budget->closed += closed;
	budget->is_short = false;
	return closed;
}
