#ifndef CF_FLAGS_H
#define CF_FLAGS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Command line flags of the stand-ins and bench programs.  A program has a
 * table that gives for each flag the field of its options struct that the flag
 * sets.  The flags are parsed with argp, which also prints them for --help; an
 * invalid value ends the process with exit status 2.
 */
enum {
	FLAGS_MAX = 48,
	FLAG_LIST_ITEMS_MAX = 64
};

enum flag_kind {
	FLAG_NUMBER, /* int64_t, not negative */
	FLAG_TEXT, /* const char * */
	FLAG_LIST, /* struct flag_list: the flag may be repeated */
	FLAG_SWITCH /* bool: takes no value */
};

struct flag_list {
	const char *items[FLAG_LIST_ITEMS_MAX];
	int count;
};

struct flag {
	const char *name;
	enum flag_kind kind;
	size_t offset; /* of the field in the options struct */
	int64_t number; /* FLAG_NUMBER: default value */
	const char *text; /* FLAG_TEXT: default value */
	const char *help;
};

void flags_parse(int argc, char **argv, const char *about,
    const struct flag *flags, int count, void *options);
bool flags_parse_address(const char *text, struct sockaddr_in *address);

#endif
