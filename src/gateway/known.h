#ifndef GATEWAY_KNOWN_H
#define GATEWAY_KNOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/notes.h"

/*
 * The instances that serve control, as one instance knows them: its seeds, what
 * others tell and whoever is heard from.  Does no I/O.
 */

enum {
	KN_MAX = 64,
	KN_SUBSCRIBED = 3, /* registries that an instance listens to */
	KN_ALIVE_US = 4000000, /* unheard for longer: not listed any more */
	KN_FORGET_US = 30000000 /* unheard for longer: forgotten, but seeds */
};

/* An instance that serves control. */
struct kn_row {
	uint32_t instance; /* its address, in the host's order of bytes */
	bool seed;
	int64_t heard_us; /* 0: never */
	bool near; /* in this data centre */
	uint64_t feed; /* its registry's incarnation, and */
	uint64_t change; /* the last change that arrived from there */
	struct nt_peer notes; /* how its notes compare with ours */
};

struct kn {
	uint32_t self;
	struct kn_row rows[KN_MAX];
	uint32_t count;
	/* Called after each instance that is added or forgotten. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct kn_row *kn_get(struct kn *kn, uint32_t instance);
struct kn_row *kn_heard(
    struct kn *kn, uint32_t instance, bool near, int64_t now_us);
void kn_set_seeds(struct kn *kn, const uint32_t *seeds, uint32_t count);
void kn_forget_silent(struct kn *kn, int64_t now_us);
uint32_t kn_list(const struct kn *kn, uint32_t *out, uint32_t max);
uint32_t kn_nearest(const struct kn *kn, int64_t now_us);
bool kn_is_subscribed(const struct kn *kn, uint32_t instance, int64_t now_us);
bool kn_is_alive(const struct kn *kn, const struct kn_row *row, int64_t now_us);
bool kn_anybody_heard(const struct kn *kn);

#endif
