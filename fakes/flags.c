#include "flags.h"

#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	FLAGS_FIRST_KEY = 0x100 /* above every short option of argp */
};

struct parse {
	const struct flag *flags;
	int count;
	char *options;
};

static void
set_text(const struct parse *parse, const struct flag *flag, const char *text)
{
	const char **field = (void *)(parse->options + flag->offset);

	*field = text;
}

static void
set_number(struct argp_state *state, const struct flag *flag, const char *arg)
{
	struct parse *parse = state->input;
	char *end;
	int64_t value = strtoll(arg, &end, 10);

	if (*arg == '\0' || *end != '\0' || value < 0)
		argp_error(state, "--%s: '%s' is not a number from 0 up",
		    flag->name, arg);
	memcpy(parse->options + flag->offset, &value, sizeof(value));
}

static void
add_item(struct argp_state *state, const struct flag *flag, const char *arg)
{
	struct parse *parse = state->input;
	struct flag_list *list = (void *)(parse->options + flag->offset);

	if (list->count == FLAG_LIST_ITEMS_MAX)
		argp_error(state, "--%s is given more than %d times",
		    flag->name, FLAG_LIST_ITEMS_MAX);
	list->items[list->count++] = arg;
}

static error_t
on_flag(int key, char *arg, struct argp_state *state)
{
	struct parse *parse = state->input;
	const struct flag *flag = &parse->flags[key - FLAGS_FIRST_KEY];
	const bool on = true;

	if (key < FLAGS_FIRST_KEY || key >= FLAGS_FIRST_KEY + parse->count)
		return ARGP_ERR_UNKNOWN;
	if (flag->kind == FLAG_NUMBER)
		set_number(state, flag, arg);
	else if (flag->kind == FLAG_TEXT)
		memcpy(parse->options + flag->offset, (void *)&arg,
		    sizeof(char *));
	else if (flag->kind == FLAG_LIST)
		add_item(state, flag, arg);
	else
		memcpy(parse->options + flag->offset, &on, sizeof(on));
	return 0;
}

/* Sets the default values in the options. */
static void
set_defaults(const struct parse *parse)
{
	const struct flag *flag;
	int i;

	for (i = 0; i < parse->count; i++) {
		flag = &parse->flags[i];
		if (flag->kind == FLAG_NUMBER)
			memcpy(parse->options + flag->offset, &flag->number,
			    sizeof(flag->number));
		else if (flag->kind == FLAG_TEXT)
			set_text(parse, flag, flag->text);
	}
}

/*
 * Parses the command line into options, which the caller has set to zero.  An
 * invalid flag or value ends the process with exit status 2.
 */
void
flags_parse(int argc, char **argv, const char *about, const struct flag *flags,
    int count, void *options)
{
	static const char *const values[] = {"N", "TEXT", "TEXT", NULL};
	struct argp_option rows[FLAGS_MAX + 1] = {{0}};
	struct argp argp = {rows, on_flag, NULL, about, NULL, NULL, NULL};
	struct parse parse = {flags, count, options};
	int i;

	if (count > FLAGS_MAX)
		abort();
	for (i = 0; i < count; i++)
		rows[i] =
		    (struct argp_option){flags[i].name, FLAGS_FIRST_KEY + i,
			values[flags[i].kind], 0, flags[i].help, 0};
	set_defaults(&parse);
	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
}

/* Parses IP:PORT (IPv4); returns false if the text is not valid. */
bool
flags_parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	char *end;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	port = strtoul(colon + 1, &end, 10);
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return colon[1] != '\0' && *end == '\0' && port <= UINT16_MAX &&
	       inet_pton(AF_INET, host, &address->sin_addr) == 1;
}
