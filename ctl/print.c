#include "ctl.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CELL_BYTES = 128,
	COLUMNS_MAX = 16,
	FILE_MAX_BYTES = 16 * 1024 * 1024
};

/* Prints an error message to standard error and returns status. */
int
ctl_fail(int status, const char *format, ...)
{
	va_list args;

	fputs("celeryfordctl: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	return status;
}

/* Prints indented JSON with sorted keys. */
void
ctl_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}

/*
 * Formats a value as a table cell.  Commas separate the items of a list and
 * replace newlines, but a final newline becomes a space.  Text beyond
 * CELL_BYTES is cut.
 */
static void
format_cell(const json_t *value, char out[CELL_BYTES])
{
	size_t i, n = 0;
	json_t *item;

	out[0] = '\0';
	if (json_is_string(value))
		snprintf(out, CELL_BYTES, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(out, CELL_BYTES, "%lld",
		    (long long)json_integer_value(value));
	else if (json_is_real(value))
		snprintf(out, CELL_BYTES, "%.1f", json_real_value(value));
	else if (json_is_boolean(value))
		snprintf(
		    out, CELL_BYTES, "%s", json_is_true(value) ? "yes" : "no");
	json_array_foreach(value, i, item)
	{
		const char *text = json_string_value(item);

		if (n < CELL_BYTES && text != NULL)
			n += (size_t)snprintf(out + n, CELL_BYTES - n, "%s%s",
			    i > 0 ? "," : "", text);
	}
	for (char *c = out; *c != '\0'; c++) {
		if (*c == '\n')
			*c = c[1] != '\0' ? ',' : ' ';
	}
}

static void
widen_column(int *width, const char *text)
{
	int len = (int)strlen(text);

	if (len > *width)
		*width = len;
}

/*
 * Prints an array of objects as a table.  columns has up to COLUMNS_MAX names
 * of fields, and ends with NULL.
 */
void
ctl_print_table(const json_t *rows, const char *const *columns)
{
	int widths[COLUMNS_MAX] = {0};
	char cell[CELL_BYTES];
	size_t r, c;
	json_t *row;

	for (c = 0; columns[c] != NULL; c++)
		widen_column(&widths[c], columns[c]);
	json_array_foreach(rows, r, row)
	{
		for (c = 0; columns[c] != NULL; c++) {
			format_cell(json_object_get(row, columns[c]), cell);
			widen_column(&widths[c], cell);
		}
	}
	for (c = 0; columns[c] != NULL; c++)
		printf("%-*s%s", widths[c], columns[c],
		    columns[c + 1] != NULL ? "  " : "\n");
	json_array_foreach(rows, r, row)
	{
		for (c = 0; columns[c] != NULL; c++) {
			format_cell(json_object_get(row, columns[c]), cell);
			printf("%-*s%s", widths[c], cell,
			    columns[c + 1] != NULL ? "  " : "\n");
		}
	}
}

/*
 * Appends a file to out; "-" is standard input.  Reading stops after
 * FILE_MAX_BYTES.  Returns an exit status.
 */
int
ctl_read_file(const char *path, struct buf *out)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char block[4096];
	size_t n;
	int failed;

	if (file == NULL)
		return ctl_fail(CTL_USAGE, "%s can't be read", path);
	while ((n = fread(block, 1, sizeof(block), file)) > 0 &&
	       out->len < FILE_MAX_BYTES)
		buf_add(out, block, n);
	failed = ferror(file);
	if (file != stdin)
		fclose(file);
	return failed ? ctl_fail(CTL_USAGE, "%s can't be read", path) : CTL_OK;
}

/*
 * Generates a random id, 32 hexadecimal digits, for a change for which the
 * operator gave none.
 */
void
ctl_make_change_id(char out[40])
{
	uint8_t bytes[16];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(out, 40, bytes, sizeof(bytes));
}
