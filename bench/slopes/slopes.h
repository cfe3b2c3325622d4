#ifndef CF_BENCH_SLOPES_H
#define CF_BENCH_SLOPES_H

#include <stdbool.h>
#include <stdio.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/rng.h"

/*
 * Measures what each role costs against the size that drives it.  A role's
 * state machine runs in virtual time on the messages of its peers, which pass
 * through a queue in memory: encoded, counted with the bytes of their frame,
 * and decoded again.  Memory is counted by the allocator handed in; processor
 * time is that of the process while a node's code runs.
 */
enum {
	POINTS_MAX = 8,
	VALUES_MAX = 8,
	SWEEPS_MAX = 48,
	HOSTS_MAX = 1024
};

struct point {
	double x;
	double value[VALUES_MAX];
};

/* One role against one size; a value for each name at each point. */
struct sweep {
	const char *role;
	const char *by;
	char *text; /* that the names are parts of */
	const char *names[VALUES_MAX];
	struct point points[POINTS_MAX];
	uint32_t count;
};

struct fit {
	double base; /* value at size 0 */
	double slope;
	double r2;
	double bend; /* slope of the upper half over that of the lower */
	bool faster; /* grows faster than linear */
};

/* Counts the bytes that are live, and their highest. */
struct meter {
	struct alloc alloc;
	size_t live;
	size_t peak;
};

struct host {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	int64_t cpu_ns;
};

struct packet {
	uint32_t from;
	uint32_t to;
	int channel;
	struct buf bytes;
};

/* The queue of messages among the nodes 1 to HOSTS_MAX - 1. */
struct net {
	struct host hosts[HOSTS_MAX];
	struct packet *queue;
	size_t first;
	size_t count;
	size_t size;
	int64_t entered_ns;
	void (*deliver)(void *ctx, const struct packet *packet);
	void *ctx;
};

struct sweep *sweep_new(const char *role, const char *by, const char *names);
struct point *sweep_point(struct sweep *sweep, double x);
void sweep_fit(const struct sweep *sweep, uint32_t value, struct fit *fit);
void sweep_print(FILE *file);
void sweep_json(FILE *file);
int sweep_plot(const char *folder);

void meter_init(struct meter *meter);
int64_t cpu_ns(void);
uint32_t rate_due(uint32_t tick, uint32_t ticks_a_second, double rate);

void net_init(
    struct net *net, void (*deliver)(void *, const struct packet *), void *ctx);
void net_free(struct net *net);
void net_reset(struct net *net);
void net_send(struct net *net, uint32_t from, uint32_t to, int channel,
    const struct buf *bytes);
void net_run(struct net *net);
void net_enter(struct net *net);
void net_leave(struct net *net, uint32_t host);
void net_cost(const struct net *net, uint32_t first, uint32_t last,
    double seconds, double *values);

void slopes_entry(void);
void slopes_member(void);
void slopes_config(void);
void slopes_replica(void);
void slopes_claims(void);
void slopes_bills(void);
void slopes_cut(void);
void slopes_granter(void);
void slopes_feed(void);

#endif
