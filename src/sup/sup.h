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
 * The supervisor tree.  A supervisor starts its children in their order and
 * stops them in the opposite one.  A child that fails is stopped and started
 * again alone; one that fails more often than its restart limit allows fails
 * its supervisor, whose parent restarts that in turn.  At the root the process
 * ends, and the platform starts it again.
 */
struct sup;

struct sup_child_spec {
	const char *name;
	int (*start)(void *ctx); /* 0 or an err.h number */
	void (*stop)(void *ctx);
	void *ctx;
};

struct sup_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *name;
	uint32_t restarts_max; /* within the window */
	uint32_t window_ms;
	uint32_t delay_ms; /* before a child is started again */
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
