#include "ctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * celeryfordctl, the command line tool of operators.  The options come first,
 * then the words of the command, then its arguments.
 */

enum {
	OPTION_OPS = 256,
	OPTION_KEY,
	OPTION_JSON,
	OPTION_WAIT_MS,
	WAIT_DEFAULT_MS = 17000
};

const char *argp_program_version = "celeryfordctl " CF_VERSION;

const struct ctl_command ctl_commands[] = {
    {"config check", "FILE", 1, 1,
	"check a configuration document without applying it", ctl_config_check},
    {"config diff", "FILE", 1, 1, "show what applying it would change",
	ctl_config_diff},
    {"config apply", "FILE [CHANGE-ID]", 1, 2,
	"change the sections that differ", ctl_config_apply},
    {"config show", "[SECTION]", 0, 1, "print the document in force",
	ctl_config_show},
    {"config history", "", 0, 0,
	"list the accepted changes with their authors and times",
	ctl_config_history},
    {"status", "", 0, 0, "instances, data centres and backend servers",
	ctl_show_status},
    {"log", "", 0, 0, "the replicated log's leader and members", ctl_show_log},
    {"explain route", "HOST PATH [workspace=NAME] [FIELD:VALUE]...", 2, 66,
	"show where a request with these header fields would go now, and why",
	ctl_explain_route},
    {"explain", "REQUEST [FILE]", 1, 2,
	"show the decisions on a request; FILE is a log, - is standard input",
	ctl_explain_request},
    {"drain", "DATA-CENTRE", 1, 1, "take a data centre out of service",
	ctl_drain_data_centre},
    {"return", "DATA-CENTRE", 1, 1, "return a data centre to service",
	ctl_return_data_centre},
    {"rollout list", "", 0, 0, "list versions with their states and stages",
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
	"record how a halted call ended", ctl_halts_resolve},
    {"bills export", "[AFTER-LINE]", 0, 1, "print settled bills, one per line",
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
    {"ops", OPTION_OPS, "URL", 0,
	"An instance's operators' listener (CELERYFORD_OPS)", 0},
    {"key", OPTION_KEY, "KEY", 0, "Operator key of a team (CELERYFORD_KEY)", 0},
    {"json", OPTION_JSON, NULL, 0, "Print JSON", 0},
    {"wait-ms", OPTION_WAIT_MS, "MS", 0,
	"Wait this long for a change to be in force everywhere", 0},
    {0}};

struct arguments {
	struct ctl ctl;
	int command_index; /* index of the command's first word */
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case OPTION_OPS:
		args->ctl.ops_url = value;
		return 0;
	case OPTION_KEY:
		args->ctl.operator_key = value;
		return 0;
	case OPTION_JSON:
		args->ctl.json = true;
		return 0;
	case OPTION_WAIT_MS:
		args->ctl.wait_ms = (uint32_t)strtoul(value, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		/* Stops parsing: the rest belongs to the command. */
		args->command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* An argp help filter that appends the list of commands to --help. */
static char *
append_command_help(int key, const char *text, void *input)
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

/* Returns whether argv begins with the words of a command. */
static bool
matches_command(const struct ctl_command *command, int argc, char **argv)
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
run_command(const struct ctl *ctl, int argc, char **argv)
{
	for (size_t i = 0; i < ctl_command_count; i++) {
		const struct ctl_command *command = &ctl_commands[i];
		int words = count_words(command->words);

		if (!matches_command(command, argc, argv))
			continue;
		if (argc - words < command->args_min ||
		    argc - words > command->args_max)
			return ctl_fail(CTL_USAGE, "usage: celeryfordctl %s %s",
			    command->words, command->args);
		return command->run(ctl, argc - words, argv + words);
	}
	return ctl_fail(CTL_USAGE,
	    "unknown command; celeryfordctl --help lists the commands");
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {ctl_options, parse_option,
	    "COMMAND [ARGUMENT...]", "Operates a celeryford system.\v", NULL,
	    append_command_help, NULL};
	struct arguments args = {.ctl = {.ops_url = getenv("CELERYFORD_OPS"),
				     .operator_key = getenv("CELERYFORD_KEY"),
				     .wait_ms = WAIT_DEFAULT_MS}};
	int status;

	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &args);
	if (args.command_index == 0)
		return ctl_fail(CTL_USAGE,
		    "no command is given; celeryfordctl --help lists the commands");
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return ctl_fail(
		    CTL_USAGE, "libsodium or libcurl can't be initialised");
	status = run_command(
	    &args.ctl, argc - args.command_index, argv + args.command_index);
	curl_global_cleanup();
	return status;
}
