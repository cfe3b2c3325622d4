#include "route/suspects.h"

#include <string.h>

enum {
	SUSPECT_US = 3000000 /* a server is missed within this after a crash */
};

struct suspects {
	uint64_t fingerprints[SU_REQUESTS_MAX];
	int64_t at_us[SU_REQUESTS_MAX]; /* 0: free */
	uint8_t next;
};

struct su {
	const struct alloc *alloc;
	struct suspects servers[SU_SERVERS_MAX];
};

/* Creates an empty table. */
struct su *
su_new(const struct alloc *alloc)
{
	struct su *su = alloc_zero(alloc, 1, sizeof(*su));

	su->alloc = alloc;
	return su;
}

/* Releases a table. */
void
su_free(struct su *su)
{
	if (su != NULL)
		alloc_free(su->alloc, su);
}

/* A server ended a request's connection without an answer. */
void
su_broken(struct su *su, uint16_t server, uint64_t fingerprint, int64_t now_us)
{
	struct suspects *s;

	if (server >= SU_SERVERS_MAX)
		return;
	s = &su->servers[server];
	s->fingerprints[s->next] = fingerprint;
	s->at_us[s->next] = now_us;
	s->next = (uint8_t)((s->next + 1) % SU_REQUESTS_MAX);
}

/* A server has answered: it is up.  Returns how many suspects it had. */
uint32_t
su_answered(struct su *su, uint16_t server)
{
	uint32_t cleared = 0;

	if (server >= SU_SERVERS_MAX)
		return 0;
	for (int i = 0; i < SU_REQUESTS_MAX; i++) {
		cleared += su->servers[server].at_us[i] != 0;
		su->servers[server].at_us[i] = 0;
	}
	return cleared;
}

void
su_down(struct su *su, uint16_t server, int64_t now_us,
    void (*crashed)(void *ctx, uint64_t fingerprint), void *ctx)
{
	struct suspects *s;

	if (server >= SU_SERVERS_MAX)
		return;
	s = &su->servers[server];
	for (int i = 0; i < SU_REQUESTS_MAX; i++) {
		if (s->at_us[i] != 0 && now_us - s->at_us[i] < SUSPECT_US)
			crashed(ctx, s->fingerprints[i]);
		s->at_us[i] = 0;
	}
}
