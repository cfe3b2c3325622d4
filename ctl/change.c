#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "config/delta.h"

/*
 * Changes of configuration sections: reads the sections with their revisions,
 * sends the changed ones and waits until every instance confirms them.
 */

enum {
	POLL_MS = 50,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000
};

/* Reads the document in force with the revision of each section. */
int
ctl_get_document(const struct ctl *ctl, json_t **out)
{
	return ctl_get_json(ctl, "/ops/config", out);
}

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static void
sleep_ms(long ms)
{
	struct timespec pause = {0, ms * NS_PER_MS};

	nanosleep(&pause, NULL);
}

/*
 * Waits for up to wait_ms until every instance has confirmed a revision.  Sets
 * "unconfirmed" in result to the instances that have not.  Returns
 * CTL_UNCONFIRMED if there are any, or the status of a failed request.
 */
static int
wait_until_confirmed(const struct ctl *ctl, long long revision, json_t *result)
{
	int64_t until = now_ms() + ctl->wait_ms;
	json_t *answer = NULL, *names;
	char path[64];
	int status;

	snprintf(
	    path, sizeof(path), "/ops/unconfirmed?revision=%lld", revision);
	for (;;) {
		status = ctl_get_json(ctl, path, &answer);
		if (status != CTL_OK)
			return status;
		names = json_object_get(answer, "unconfirmed");
		if (json_array_size(names) == 0 || now_ms() >= until)
			break;
		json_decref(answer);
		sleep_ms(POLL_MS);
	}
	json_object_set(result, "unconfirmed", names);
	status = json_array_size(names) == 0 ? CTL_OK : CTL_UNCONFIRMED;
	json_decref(answer);
	return status;
}

static void
print_result(const struct ctl *ctl, const json_t *result)
{
	json_t *names = json_object_get(result, "unconfirmed");
	size_t i;
	json_t *name;

	if (ctl->json) {
		ctl_print_json(result);
		return;
	}
	printf("accepted as revision %lld%s\n",
	    (long long)json_integer_value(json_object_get(result, "revision")),
	    json_is_true(json_object_get(result, "repeated"))
		? ", by an earlier request"
		: "");
	if (json_array_size(names) == 0)
		printf("in force on every instance\n");
	json_array_foreach(names, i, name)
	{
		printf("not confirmed by %s\n", json_string_value(name));
	}
}

/*
 * Sends a change and waits for its confirmations.  After a lost answer the
 * change can be sent again with the same id, which returns the first answer.
 * id may be NULL.  Takes ownership of items.
 */
int
ctl_send_change(const struct ctl *ctl, json_t *items, const char *id)
{
	char own_id[40];
	json_t *body, *result = NULL;
	int status;

	if (id == NULL) {
		ctl_make_change_id(own_id);
		id = own_id;
	}
	body = json_pack("{s:s,s:o}", "change_id", id, "items", items);
	status = ctl_post_json(ctl, "/ops/config", body, &result);
	json_decref(body);
	if (status == CTL_UNREACHABLE || status == CTL_REFUSED)
		fprintf(stderr,
		    "celeryfordctl: the outcome may be unknown; apply it again "
		    "with the change id %s\n",
		    id);
	if (status != CTL_OK)
		return status;
	status = wait_until_confirmed(ctl,
	    json_integer_value(json_object_get(result, "revision")), result);
	print_result(ctl, result);
	json_decref(result);
	return status;
}

static const json_t *
find_section(const json_t *document, const char *path)
{
	size_t i;
	json_t *section;

	json_array_foreach(json_object_get(document, "sections"), i, section)
	{
		if (strcmp(json_string_value(json_object_get(section, "path")),
			path) == 0)
			return section;
	}
	return NULL;
}

/* Sets keys in the text of a section and appends the result to out. */
static int
edit_section(const char *text, const char *const *pairs, struct buf *out)
{
	struct buf before;
	int error = 0;

	buf_init(&before, alloc_default());
	buf_adds(out, text);
	for (; pairs[0] != NULL && error == 0; pairs += 2) {
		buf_clear(&before);
		buf_add(&before, out->data, out->len);
		buf_clear(out);
		error =
		    delta_set_key(buf_text(&before), pairs[0], pairs[1], out);
	}
	buf_free(&before);
	return error;
}

/* Changes keys of one section.  pairs: key, value, ..., NULL. */
int
ctl_set_section_keys(
    const struct ctl *ctl, const char *path, const char *const *pairs)
{
	json_t *document = NULL;
	const json_t *section;
	struct buf text;
	json_t *item;
	int status = ctl_get_document(ctl, &document);

	if (status != CTL_OK)
		return status;
	section = find_section(document, path);
	if (section == NULL) {
		json_decref(document);
		return ctl_fail(CTL_REFUSED, "section %s does not exist", path);
	}
	buf_init(&text, alloc_default());
	if (edit_section(json_string_value(json_object_get(section, "text")),
		pairs, &text) != 0) {
		status = ctl_fail(CTL_INVALID, "%s can't be edited", path);
	} else {
		item = json_pack("{s:s,s:O,s:s}", "path", path, "base_revision",
		    json_object_get(section, "revision"), "text",
		    buf_text(&text));
		status = ctl_send_change(ctl, json_pack("[o]", item), NULL);
	}
	buf_free(&text);
	json_decref(document);
	return status;
}
