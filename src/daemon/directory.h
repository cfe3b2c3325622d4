#ifndef CF_DIRECTORY_H
#define CF_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "daemon/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * All instances of the settings, found by number, name or rank.  The state
 * machines identify an instance by a 32-bit hash of its name, so that every
 * instance computes the same number.  The replicated log identifies a replica
 * by its rank, the position of its name among the replicas' names.
 */
enum {
	DIRECTORY_NO_RANK = 0xffff /* of an instance without a replica */
};

struct directory_entry {
	uint32_t number;
	const char *name;
	const char *data_centre;
	const struct settings_address *address; /* of its peer listener */
	uint16_t rank; /* among the replicas, or DIRECTORY_NO_RANK */
	uint16_t data_centre_rank; /* position among the data centres' names */
	char http[SETTINGS_HOST_BYTES + 8]; /* "IP:PORT"; "" if not set */
	bool self; /* is this instance */
};

struct directory;

struct directory *directory_new(
    const struct alloc *alloc, const struct settings *settings);
void directory_free(struct directory *directory);
uint32_t directory_count(const struct directory *directory);
const struct directory_entry *directory_at(
    const struct directory *directory, uint32_t i);
const struct directory_entry *directory_self(const struct directory *d);
const struct directory_entry *directory_find(
    const struct directory *directory, uint32_t number);
const struct directory_entry *directory_find_name(
    const struct directory *directory, const char *name);
const struct directory_entry *directory_find_rank(
    const struct directory *directory, uint16_t rank);
const char *directory_data_centre_name(
    const struct directory *directory, uint16_t rank);
uint64_t directory_rank_mask(const struct directory *directory);
uint32_t directory_number_of(const char *name);

#ifdef __cplusplus
}
#endif

#endif
