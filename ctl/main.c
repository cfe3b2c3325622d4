#include "ctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * celeryfordctl: the operator's tool.  Flags come first, then the command's
 * words, then its arguments.
 */

enum {
	KEY_OPS = 256,
	KEY_KEY,
	KEY_JSON,
	KEY_WAIT,
	WAIT_DEFAULT_MS = 17000
};

const char *argp_program_version = "celeryfordctl " CF_VERSION;

const struct ctl_command ctl_commands[] = {
    {"config check", "FILE", 1, 1, "find what is wrong with a document",
	ctl_config_check},
    {"config diff", "FILE", 1, 1, "show what applying it would change",
	ctl_config_diff},
    {"config apply", "FILE [CHANGE-ID]", 1, 2,
	"change the sections that differ", ctl_config_apply},
    {"config show", "[SECTION]", 0, 1, "print the document in force",
	ctl_config_show},
    {"config history", "", 0, 0, "who changed what, and when",
	ctl_config_history},
    {"status", "", 0, 0, "instances, data centres and backend servers",
	ctl_show_status},
    {"log", "", 0, 0, "the replicated log's leader and members", ctl_show_log},
    {"explain", "REQUEST [FILE]", 1, 2,
	"the decisions on a request; from a log file, or - for a pipe",
	ctl_explain},
    {"drain", "DATA-CENTRE", 1, 1, "take a data centre out", ctl_drain},
    {"return", "DATA-CENTRE", 1, 1, "bring a data centre back", ctl_return},
    {"rollout list", "", 0, 0, "versions, their states and stages",
	ctl_rollout_list},
    {"rollout step", "VERSION PERMILLE", 2, 2,
	"give a version this share of the traffic; 1000 releases it",
	ctl_rollout_step},
    {"rollout stop", "VERSION", 1, 1, "keep a version, with no new share",
	ctl_rollout_stop},
    {"rollout withdraw", "VERSION", 1, 1, "give a version no new work",
	ctl_rollout_withdraw},
    {"halts list", "", 0, 0, "calls whose outcome is unknown", ctl_halts_list},
    {"halts resolve", "HALT ran|not_run [CHANGE-ID]", 2, 3,
	"say how a halted call ended", ctl_halts_resolve},
    {"bills export", "[AFTER-LINE]", 0, 1, "settled bills, one a line",
	ctl_bills_export},
    {"bills unsettled", "", 0, 0, "intents without settlement",
	ctl_bills_unsettled},
    {"data check", "FOLDER", 1, 1, "verify a data folder offline",
	ctl_data_check},
    {"data dump", "FOLDER", 1, 1, "print a data folder's records",
	ctl_data_dump},
    {"hash-key", "", 0, 0, "hash a key read from standard input", ctl_hash_key},
    {"completion", "", 0, 0, "print a completion script for bash",
	ctl_completion},
};
const size_t ctl_command_count = sizeof(ctl_commands) / sizeof(*ctl_commands);

static const struct argp_option ctl_options[] = {
    {"ops", KEY_OPS, "URL", 0,
	"An instance's operators' listener (CELERYFORD_OPS)", 0},
    {"key", KEY_KEY, "KEY", 0, "Operator key of a team (CELERYFORD_KEY)", 0},
    {"json", KEY_JSON, NULL, 0, "Print JSON", 0},
    {"wait-ms", KEY_WAIT, "MS", 0,
	"Wait this long for a change to be in force everywhere", 0},
    {0}};

struct arguments {
	struct ctl ctl;
	int first; /* index of the command's first word */
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case KEY_OPS:
		a->ctl.ops = value;
		return 0;
	case KEY_KEY:
		a->ctl.key = value;
		return 0;
	case KEY_JSON:
		a->ctl.json = true;
		return 0;
	case KEY_WAIT:
		a->ctl.wait_ms = (uint32_t)strtoul(value, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		/* What follows the first word belongs to the command. */
		a->first = state->next - 1;
		state->next = state->argc;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends the commands to --help. */
static char *
add_commands(int key, const char *text, void *input)
{
	struct buf out;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	buf_init(&out, alloc_default());
	buf_adds(&out, "Commands:\n");
	for (size_t i = 0; i < ctl_command_count; i++)
		buf_addf(&out, "  %s %s\n        %s\n", ctl_commands[i].words,
		    ctl_commands[i].args, ctl_commands[i].help);
	return (char *)out.data;
}

static int
count_words(const char *words)
{
	return strchr(words, ' ') != NULL ? 2 : 1;
}

static bool
matches(const struct ctl_command *command, int argc, char **argv)
{
	char words[128];

	if (argc < count_words(command->words))
		return false;
	if (count_words(command->words) == 1)
		return strcmp(command->words, argv[0]) == 0;
	snprintf(words, sizeof(words), "%s %s", argv[0], argv[1]);
	return strcmp(command->words, words) == 0;
}

static int
run(const struct ctl *ctl, int argc, char **argv)
{
	for (size_t i = 0; i < ctl_command_count; i++) {
		const struct ctl_command *command = &ctl_commands[i];
		int words = count_words(command->words);

		if (!matches(command, argc, argv))
			continue;
		if (argc - words < command->args_min ||
		    argc - words > command->args_max)
			return ctl_fail(CTL_USAGE, "usage: celeryfordctl %s %s",
			    command->words, command->args);
		return command->run(ctl, argc - words, argv + words);
	}
	return ctl_fail(
	    CTL_USAGE, "no such command; celeryfordctl --help lists them");
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {ctl_options, parse_option,
	    "COMMAND [ARGUMENT...]", "Operates a celeryford system.\v", NULL,
	    add_commands, NULL};
	struct arguments a = {.ctl = {.ops = getenv("CELERYFORD_OPS"),
				  .key = getenv("CELERYFORD_KEY"),
				  .wait_ms = WAIT_DEFAULT_MS}};
	int status;

	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &a);
	if (a.first == 0)
		return ctl_fail(CTL_USAGE,
		    "a command is needed; celeryfordctl --help lists them");
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return ctl_fail(CTL_USAGE, "a library can't be started");
	status = run(&a.ctl, argc - a.first, argv + a.first);
	curl_global_cleanup();
	return status;
}
