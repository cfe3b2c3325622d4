#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The commands status, log, explain, drain, return, rollout and halts. */

enum {
	PATH_BYTES = 256,
	PERMILLE = 1000
};

static void
print_status(const json_t *status)
{
	static const char *const instances[] = {
	    "instance", "state", "relay", "granter", NULL};
	static const char *const servers[] = {"server", "address", "warmth",
	    "versions", "slots", "running", "in_flight", "leaving", NULL};
	static const char *const centres[] = {"data_centre", "state", NULL};

	printf("instance %s in %s, revision %lld%s%s, %lld requests open\n\n",
	    json_string_value(json_object_get(status, "instance")),
	    json_string_value(json_object_get(status, "data_centre")),
	    (long long)json_integer_value(json_object_get(status, "revision")),
	    json_is_true(json_object_get(status, "isolated")) ? ", isolated"
							      : "",
	    json_is_true(json_object_get(status, "draining")) ? ", draining"
							      : "",
	    (long long)json_integer_value(
		json_object_get(status, "open_requests")));
	ctl_print_table(json_object_get(status, "data_centres"), centres);
	putchar('\n');
	ctl_print_table(json_object_get(status, "instances"), instances);
	putchar('\n');
	ctl_print_table(json_object_get(status, "servers"), servers);
}

/* status: prints the instances, data centres and backend servers. */
int
ctl_show_status(const struct ctl *ctl, int argc, char **argv)
{
	json_t *answer = NULL;
	int status = ctl_get_json(ctl, "/ops/status", &answer);

	(void)argc;
	(void)argv;
	if (status == CTL_OK && ctl->json)
		ctl_print_json(answer);
	else if (status == CTL_OK)
		print_status(answer);
	json_decref(answer);
	return status;
}

/* log: prints the leader and the members of the replicated log. */
int
ctl_show_log(const struct ctl *ctl, int argc, char **argv)
{
	json_t *answer = NULL;
	int status = ctl_get_json(ctl, "/ops/log", &answer);

	(void)argc;
	(void)argv;
	if (status == CTL_OK)
		ctl_print_json(answer);
	json_decref(answer);
	return status;
}

/*
 * explain REQUEST [FILE]: prints the lines about decisions on a request, from
 * a log file or those that the queried instance still has in memory.
 */
int
ctl_explain_request(const struct ctl *ctl, int argc, char **argv)
{
	char path[PATH_BYTES];
	struct buf text;
	int status;

	if (argc > 1)
		return ctl_explain_log(argv[0], argv[1]);
	snprintf(path, sizeof(path), "/ops/explain?request=%s", argv[0]);
	buf_init(&text, alloc_default());
	status = ctl_get_text(ctl, path, &text);
	if (status == CTL_OK)
		fputs(buf_text(&text), stdout);
	buf_free(&text);
	return status;
}

static int
set_data_centre_state(
    const struct ctl *ctl, const char *name, const char *state)
{
	const char *const pairs[] = {"state", state, NULL};
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "data_centres/%s", name);
	return ctl_set_section_keys(ctl, path, pairs);
}

/* drain DATA-CENTRE: takes a data centre out of service. */
int
ctl_drain_data_centre(const struct ctl *ctl, int argc, char **argv)
{
	(void)argc;
	return set_data_centre_state(ctl, argv[0], "out");
}

/* return DATA-CENTRE: returns a data centre to service. */
int
ctl_return_data_centre(const struct ctl *ctl, int argc, char **argv)
{
	(void)argc;
	return set_data_centre_state(ctl, argv[0], "in");
}

/* rollout list: prints the version sections of the document in force. */
int
ctl_rollout_list(const struct ctl *ctl, int argc, char **argv)
{
	static const char *const columns[] = {"path", "revision", "text", NULL};
	json_t *document = NULL, *versions = json_array(), *section;
	int status = ctl_get_document(ctl, &document);
	size_t i;

	(void)argc;
	(void)argv;
	json_array_foreach(json_object_get(document, "sections"), i, section)
	{
		const char *path =
		    json_string_value(json_object_get(section, "path"));

		if (strncmp(path, "versions/", 9) == 0)
			json_array_append(versions, section);
	}
	if (status == CTL_OK && ctl->json)
		ctl_print_json(versions);
	else if (status == CTL_OK)
		ctl_print_table(versions, columns);
	json_decref(versions);
	json_decref(document);
	return status;
}

/*
 * Sets the state and the stage of a version, whose name may be a section path:
 * the part up to the first slash is left out.  stage is in thousandths.
 */
static int
set_version_stage(const struct ctl *ctl, const char *name, const char *state,
    const char *stage)
{
	const char *const pairs[] = {
	    "state", state, "stage_permille", stage, NULL};
	const char *slash = strchr(name, '/');
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "versions/%s",
	    slash != NULL ? slash + 1 : name);
	return ctl_set_section_keys(ctl, path, pairs);
}

/* rollout step VERSION PERMILLE: sets a version's share of the traffic. */
int
ctl_rollout_step(const struct ctl *ctl, int argc, char **argv)
{
	char *end;
	unsigned long stage = strtoul(argv[1], &end, 10);

	(void)argc;
	if (*end != '\0' || stage > PERMILLE)
		return ctl_fail(CTL_USAGE,
		    "\"%s\" is not accepted: a share of 0 to 1000 thousandths "
		    "is required",
		    argv[1]);
	return set_version_stage(
	    ctl, argv[0], stage == PERMILLE ? "released" : "rolling", argv[1]);
}

/* rollout stop VERSION: gives no new share; sessions that have it keep it. */
int
ctl_rollout_stop(const struct ctl *ctl, int argc, char **argv)
{
	(void)argc;
	return set_version_stage(ctl, argv[0], "rolling", "0");
}

/* rollout withdraw VERSION: gives a version no new work. */
int
ctl_rollout_withdraw(const struct ctl *ctl, int argc, char **argv)
{
	(void)argc;
	return set_version_stage(ctl, argv[0], "withdrawn", "0");
}

/* halts list: lists the calls whose outcome is unknown. */
int
ctl_halts_list(const struct ctl *ctl, int argc, char **argv)
{
	static const char *const columns[] = {
	    "workspace", "phase", "halt", NULL};
	json_t *list = NULL;
	int status = ctl_get_json(ctl, "/ops/halts", &list);

	(void)argc;
	(void)argv;
	if (status == CTL_OK && ctl->json)
		ctl_print_json(list);
	else if (status == CTL_OK)
		ctl_print_table(list, columns);
	json_decref(list);
	return status;
}

/* halts resolve HALT ran|not_run [CHANGE-ID]: records a call's outcome. */
int
ctl_halts_resolve(const struct ctl *ctl, int argc, char **argv)
{
	char own_id[40];
	json_t *body, *answer = NULL;
	int status;

	if (strcmp(argv[1], "ran") != 0 && strcmp(argv[1], "not_run") != 0)
		return ctl_fail(CTL_USAGE,
		    "\"%s\" is not accepted: ran or not_run is required",
		    argv[1]);
	ctl_make_change_id(own_id);
	body = json_pack("{s:s,s:s,s:s}", "halt", argv[0], "verdict", argv[1],
	    "change_id", argc > 2 ? argv[2] : own_id);
	status = ctl_post_json(ctl, "/ops/halts", body, &answer);
	json_decref(body);
	if (status == CTL_OK)
		printf("resolved\n");
	json_decref(answer);
	return status;
}
