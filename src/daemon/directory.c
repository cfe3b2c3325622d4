#include "daemon/directory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct directory {
	const struct alloc *alloc;
	struct directory_entry *entries; /* sorted by name */
	uint32_t count;
	uint32_t self;
};

/* Returns the number of an instance, a hash of its name; never 0. */
uint32_t
directory_number_of(const char *name)
{
	uint32_t number = XXH32(name, strlen(name), 0);

	return number != 0 ? number : 1;
}

static int
compare_names(const void *a, const void *b)
{
	const struct directory_entry *x = a;
	const struct directory_entry *y = b;

	return strcmp(x->name, y->name);
}

/* Returns the number of data centres whose name sorts before a given one. */
static uint16_t
rank_data_centre(const struct directory *d, const char *name)
{
	uint16_t rank = 0;

	for (uint32_t i = 0; i < d->count; i++) {
		bool first = strcmp(d->entries[i].data_centre, name) < 0;

		for (uint32_t j = 0; j < i && first; j++)
			first = strcmp(d->entries[j].data_centre,
				    d->entries[i].data_centre) != 0;
		rank += first;
	}
	return rank;
}

/*
 * Sorts the entries and sets their numbers and ranks.  On entry the rank is 0
 * for a replica, DIRECTORY_NO_RANK otherwise.
 */
static void
number_entries(struct directory *d, const char *self)
{
	uint16_t rank = 0;

	qsort(d->entries, d->count, sizeof(*d->entries), compare_names);
	for (uint32_t i = 0; i < d->count; i++) {
		struct directory_entry *e = &d->entries[i];

		e->number = directory_number_of(e->name);
		e->data_centre_rank = rank_data_centre(d, e->data_centre);
		e->rank = e->rank == 0 ? rank++ : DIRECTORY_NO_RANK;
		e->self = strcmp(e->name, self) == 0;
		if (e->self)
			d->self = i;
	}
}

/*
 * Creates the directory from the settings.  Returns NULL if two names have the
 * same number.
 */
struct directory *
directory_new(const struct alloc *alloc, const struct settings *settings)
{
	struct directory *d = alloc_zero(alloc, 1, sizeof(*d));

	d->alloc = alloc;
	d->count = settings->peer_count + 1;
	d->entries = alloc_zero(alloc, d->count, sizeof(*d->entries));
	for (uint32_t i = 0; i < settings->peer_count; i++) {
		const struct settings_peer *peer = &settings->peers[i];

		d->entries[i] = (struct directory_entry){.name = peer->instance,
		    .data_centre = peer->data_centre,
		    .address = &peer->address,
		    .rank = peer->replica ? 0 : DIRECTORY_NO_RANK};
		if (peer->http_port != 0)
			snprintf(d->entries[i].http, sizeof(d->entries[i].http),
			    "%s:%u", peer->address.host, peer->http_port);
	}
	d->entries[settings->peer_count] =
	    (struct directory_entry){.name = settings->instance,
		.data_centre = settings->data_centre,
		.address = &settings->peer_listen,
		.rank = settings->data_dir[0] != '\0' ? 0 : DIRECTORY_NO_RANK};
	number_entries(d, settings->instance);
	for (uint32_t i = 0; i < d->count; i++) {
		if (directory_find(d, d->entries[i].number) != &d->entries[i]) {
			directory_free(d);
			return NULL;
		}
	}
	return d;
}

/* Releases the directory. */
void
directory_free(struct directory *d)
{
	if (d == NULL)
		return;
	alloc_free(d->alloc, d->entries);
	alloc_free(d->alloc, d);
}

/* Returns the number of instances, this one included. */
uint32_t
directory_count(const struct directory *d)
{
	return d->count;
}

/* Returns the i-th instance in the order of names. */
const struct directory_entry *
directory_at(const struct directory *d, uint32_t i)
{
	return &d->entries[i];
}

/* Returns this instance. */
const struct directory_entry *
directory_self(const struct directory *d)
{
	return &d->entries[d->self];
}

/* Returns the instance with a number, or NULL. */
const struct directory_entry *
directory_find(const struct directory *d, uint32_t number)
{
	for (uint32_t i = 0; i < d->count; i++) {
		if (d->entries[i].number == number)
			return &d->entries[i];
	}
	return NULL;
}

/* Returns the instance with a name, or NULL. */
const struct directory_entry *
directory_find_name(const struct directory *d, const char *name)
{
	return directory_find(d, directory_number_of(name));
}

/* Returns the replica's instance with a rank, or NULL. */
const struct directory_entry *
directory_find_rank(const struct directory *d, uint16_t rank)
{
	for (uint32_t i = 0; i < d->count; i++) {
		if (d->entries[i].rank == rank && rank != DIRECTORY_NO_RANK)
			return &d->entries[i];
	}
	return NULL;
}

/* Returns the name of a data centre by its rank, or NULL. */
const char *
directory_data_centre_name(const struct directory *d, uint16_t rank)
{
	for (uint32_t i = 0; i < d->count; i++) {
		if (d->entries[i].data_centre_rank == rank)
			return d->entries[i].data_centre;
	}
	return NULL;
}

/* Returns the replicas' ranks as a bit mask. */
uint64_t
directory_rank_mask(const struct directory *d)
{
	uint64_t mask = 0;

	for (uint32_t i = 0; i < d->count; i++) {
		if (d->entries[i].rank != DIRECTORY_NO_RANK)
			mask |= (uint64_t)1 << d->entries[i].rank;
	}
	return mask;
}
