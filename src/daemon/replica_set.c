#include "daemon/replica_set.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "daemon/directory.h"

const char replica_set_path[] = "replicas/current";
const char replica_set_team[] = "(replicas)"; /* no team can be named so */

/*
 * Appends the section's text for the log's members.  Returns false while a
 * change of membership is not committed yet.
 */
bool
replica_set_text(const struct directory *directory,
    const struct rlog_status *status, struct buf *out)
{
	if (status->member_count == 0 || status->members_index > status->commit)
		return false;
	buf_addf(out, "epoch: %" PRIu64 "\nvoters:\n", status->members_index);
	for (size_t i = 0; i < status->member_count; i++) {
		const struct directory_entry *entry =
		    directory_find_rank(directory, status->members[i].instance);

		if (status->members[i].voter && entry != NULL)
			buf_addf(out, "  - %s@%016" PRIx64 "\n", entry->name,
			    status->members[i].id);
	}
	return true;
}

/* Reads the set that the sections name; false if they name none. */
bool
replica_set_read(
    const struct section_list *sections, struct claim_replicas *set)
{
	const struct section *section =
	    section_find(sections, replica_set_path);
	struct section_problems problems = {0};
	struct schema_replicas *in;
	char name[SECTION_PATH_BYTES];

	memset(set, 0, sizeof(*set));
	in = section != NULL ? schema_load(SCHEMA_REPLICAS, section, &problems)
			     : NULL;
	if (in == NULL)
		return false;
	set->epoch = in->epoch;
	for (uint32_t i = 0; i < in->voters_count && i < CLAIM_REPLICAS_MAX;
	     i++) {
		snprintf(name, sizeof(name), "%.*s",
		    (int)strcspn(in->voters[i], "@"), in->voters[i]);
		set->instances[set->count++] = directory_number_of(name);
	}
	schema_free(SCHEMA_REPLICAS, in);
	return set->count > 0;
}
