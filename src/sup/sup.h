#ifndef CF_SUP_H
#define CF_SUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The supervisor tree.  A supervisor starts its children in the order in which
 * they were added and stops them in reverse order.  A child that fails is
 * restarted without affecting the others.  If it fails more often than the
 * restart limit allows, its supervisor fails as well and is restarted by its
 * own parent.  If the root supervisor fails, the process exits and the platform
 * restarts it.
 */
struct sup;

struct sup_child_spec {
	const char *name;
	int (*start)(void *ctx); /* returns 0 or an err.h number */
	void (*stop)(void *ctx);
	void *ctx;
};

struct sup_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *name;
	uint32_t restarts_max; /* restarts of a child within window_ms */
	uint32_t window_ms;
	uint32_t delay_ms; /* between a child's failure and its restart */
	/* Called with the child whose failures exceeded the limit. */
	void (*failed)(void *ctx, const char *child, int error);
	void *ctx;
};

struct sup *sup_new(const struct sup_options *options);
void sup_free(struct sup *sup);
void sup_add(struct sup *sup, const struct sup_child_spec *spec);
int sup_start(struct sup *sup);
void sup_stop(struct sup *sup);
void sup_child_failed(struct sup *sup, const char *name, int error);
bool sup_child_running(const struct sup *sup, const char *name);

#ifdef __cplusplus
}
#endif

#endif
