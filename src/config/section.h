#ifndef CF_SECTION_H
#define CF_SECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The configuration document as text: a YAML mapping from each group to its
 * sections.
 *
 *	workspaces:
 *	  permits:
 *	    priority: 1
 *
 * has the section "workspaces/permits", whose text is "priority: 1\n".
 * Ownership, conflicts between operators' concurrent changes and distribution
 * to the instances all work on whole sections.
 */
enum {
	SECTION_PATH_BYTES = 128,
	SECTION_PROBLEMS_MAX = 64
};

struct section {
	char path[SECTION_PATH_BYTES];
	char *text; /* ends with a newline; starts at column 0 */
	uint32_t line; /* line in the document where text starts, from 1 */
};

/* An error in a document; the message names the key and value. */
struct section_problem {
	uint32_t line; /* in the document, from 1 */
	char path[SECTION_PATH_BYTES];
	char text[256];
};

struct section_problems {
	size_t count;
	struct section_problem items[SECTION_PROBLEMS_MAX];
};

struct section_list {
	const struct alloc *alloc;
	struct section *items;
	size_t count;
	size_t size;
};

void section_list_init(struct section_list *list, const struct alloc *alloc);
void section_list_free(struct section_list *list);
void section_list_add(struct section_list *list, const char *path,
    const char *text, size_t len, uint32_t line);
const struct section *section_find(
    const struct section_list *list, const char *path);
int section_split(const char *document, size_t len, struct section_list *list,
    struct section_problems *problems);
void section_join(const struct section_list *list, struct buf *out);

void section_add_problem(struct section_problems *problems, uint32_t line,
    const char *path, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void section_problems_print(
    const struct section_problems *problems, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
