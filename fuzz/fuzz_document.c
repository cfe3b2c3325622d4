#include <stddef.h>
#include <stdint.h>

#include "config/compile.h"
#include "config/delta.h"
#include "config/section.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Compiles arbitrary bytes as a configuration document.  It must either compile
 * or be refused with at least one problem.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct section_problems problems;
	struct section_list sections;
	struct cfg *cfg = NULL;
	struct buf edited;

	problems.count = 0;
	section_list_init(&sections, alloc_default());
	buf_init(&edited, alloc_default());
	if (section_split((const char *)data, size, &sections, &problems) == 0)
		cfg = compile_sections(
		    alloc_default(), &sections, 1, NULL, &problems);
	if (cfg == NULL && problems.count == 0)
		__builtin_trap();
	for (size_t i = 0; i < sections.count; i++)
		delta_set_key(sections.items[i].text, "state", "out", &edited);
	compile_free(alloc_default(), cfg);
	section_list_free(&sections);
	buf_free(&edited);
	return 0;
}
