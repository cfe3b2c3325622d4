#include <apr_general.h>
#include <stddef.h>
#include <stdint.h>

#include "platform/dialect.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses arbitrary bytes as a document.  It must either yield a route table and
 * a number other than 0, or an error and no table.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct gw_dialect *dialect = platform_dialect();
	struct route_table *table = NULL;
	uint64_t number = 0;
	struct buf why;
	int error;

	apr_initialize();
	buf_init(&why, alloc_default());
	error = dialect->ops->read_document(
	    dialect, (const char *)data, size, true, &table, &number, &why);
	if ((error == 0) != (table != NULL) || (error == 0 && number == 0))
		__builtin_trap();
	route_table_free(table);
	buf_free(&why);
	return 0;
}
