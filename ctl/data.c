#include "ctl.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/cfg.h"
#include "state/journal.h"

/* Commands on bills, data folders, key hashes and shell completion. */

/*
 * Returns the number of the last line in a page of the export, or 0 if the
 * page has none.  The next page begins after it.
 */
static uint64_t
last_line_number(const char *text, size_t len)
{
	static const char key[] = "{\"line\":";
	const char *at = text + len;

	while (at > text && strncmp(at, key, sizeof(key) - 1) != 0)
		at--;
	return strncmp(at, key, sizeof(key) - 1) == 0
		   ? strtoull(at + sizeof(key) - 1, NULL, 10)
		   : 0;
}

/* bills export [AFTER-LINE]: prints all pages, one JSON object per line. */
int
ctl_bills_export(const struct ctl *ctl, int argc, char **argv)
{
	uint64_t after = argc > 0 ? strtoull(argv[0], NULL, 10) : 0;
	char path[64];
	struct buf page;
	int status;

	buf_init(&page, alloc_default());
	do {
		snprintf(
		    path, sizeof(path), "/ops/bills?after=%" PRIu64, after);
		buf_clear(&page);
		status = ctl_get_text(ctl, path, &page);
		if (status == CTL_OK && page.len > 0) {
			fputs(buf_text(&page), stdout);
			after = last_line_number(buf_text(&page), page.len);
		}
	} while (status == CTL_OK && page.len > 0);
	buf_free(&page);
	return status;
}

/* bills unsettled: lists the intents without settlement. */
int
ctl_bills_unsettled(const struct ctl *ctl, int argc, char **argv)
{
	static const char *const columns[] = {
	    "request", "workspace", "age_s", NULL};
	json_t *list = NULL;
	int status = ctl_get_json(ctl, "/ops/unsettled", &list);

	(void)argc;
	(void)argv;
	if (status == CTL_OK && ctl->json)
		ctl_print_json(list);
	else if (status == CTL_OK)
		ctl_print_table(list, columns);
	json_decref(list);
	return status;
}

/* Prints the text that read makes from a data folder. */
static int
print_folder_report(
    int (*read)(const char *folder, struct buf *out), const char *folder)
{
	struct buf text;
	int error;

	buf_init(&text, alloc_default());
	error = read(folder, &text);
	fputs(buf_text(&text), stdout);
	buf_free(&text);
	if (error != 0)
		return ctl_fail(
		    CTL_REFUSED, "%s: %s", folder, err_answer(error)->text);
	return CTL_OK;
}

/* data check FOLDER: verifies the records of a data folder offline. */
int
ctl_data_check(const struct ctl *ctl, int argc, char **argv)
{
	(void)ctl;
	(void)argc;
	return print_folder_report(jnl_check, argv[0]);
}

/* data dump FOLDER: prints the records of a data folder offline. */
int
ctl_data_dump(const struct ctl *ctl, int argc, char **argv)
{
	(void)ctl;
	(void)argc;
	return print_folder_report(jnl_dump, argv[0]);
}

/*
 * hash-key: prints the hash of a key from standard input in the format of
 * key_hash, a setting of teams and workspaces.
 */
int
ctl_hash_key(const struct ctl *ctl, int argc, char **argv)
{
	uint8_t hash[CFG_KEY_HASH_BYTES];
	char hex[2 * CFG_KEY_HASH_BYTES + 1];
	struct buf key;

	(void)ctl;
	(void)argc;
	(void)argv;
	buf_init(&key, alloc_default());
	if (ctl_read_file("-", &key) != CTL_OK)
		return CTL_USAGE;
	while (key.len > 0 && key.data[key.len - 1] == '\n')
		key.len--;
	crypto_generichash(hash, sizeof(hash), key.data, key.len, NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	puts(hex);
	buf_free(&key);
	return CTL_OK;
}

/* completion: prints a bash script that completes the words of commands. */
int
ctl_completion(const struct ctl *ctl, int argc, char **argv)
{
	(void)ctl;
	(void)argc;
	(void)argv;
	puts(
	    "_celeryfordctl() {\n\tlocal line=\"${COMP_WORDS[*]:1:COMP_CWORD}\""
	    " c\n\tCOMPREPLY=()\n\twhile read -r c; do\n\t\t[[ \"$c\" == "
	    "\"$line\"* ]] &&\n\t\t    COMPREPLY+=(\"$(echo \"$c\" |\n\t\t\t"
	    "cut -d' ' -f\"$COMP_CWORD\")\")\n\tdone <<'WORDS'");
	for (size_t i = 0; i < ctl_command_count; i++)
		puts(ctl_commands[i].words);
	puts("WORDS\n}\ncomplete -F _celeryfordctl celeryfordctl");
	return CTL_OK;
}
