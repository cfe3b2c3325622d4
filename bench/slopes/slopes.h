#ifndef CF_BENCH_SLOPES_H
#define CF_BENCH_SLOPES_H

#include <stdbool.h>
#include <stdio.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/rng.h"

/*
 * Measures the cost of each role as a function of one size parameter.  A role's
 * state machine runs in virtual time and exchanges messages with its peers
 * through a queue in memory: they are encoded, counted with the bytes of their
 * frame, and decoded again.  Memory is counted by the allocator passed to the
 * state machine; processor time is that of this process while a node's code
 * runs.
 */
enum {
	POINTS_MAX = 8,
	VALUES_MAX = 8,
	SWEEPS_MAX = 48,
	HOSTS_MAX = 1024
};

/* The measured values at one size. */
struct point {
	double x;
	double value[VALUES_MAX];
};

/* One role measured over one size; each point has a value for each name. */
struct sweep {
	const char *role;
	const char *by; /* name of the size */
	char *text; /* storage of the names */
	const char *names[VALUES_MAX];
	struct point points[POINTS_MAX];
	uint32_t count;
};

/* A line fitted to one quantity. */
struct fit {
	double base; /* value at size 0 */
	double slope;
	double r2; /* coefficient of determination */
	double bend; /* slope of the upper half divided by the lower half's */
	bool faster; /* grows faster than linear */
};

/* An allocator that counts its live bytes and their highest number. */
struct meter {
	struct alloc alloc;
	size_t live;
	size_t peak;
};

/* Messages and processor time of one node. */
struct host {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	int64_t cpu_ns;
};

/* A message in the queue. */
struct packet {
	uint32_t from;
	uint32_t to;
	int channel;
	struct buf bytes;
};

/* The queue of messages between the nodes 1 to HOSTS_MAX - 1. */
struct net {
	struct host hosts[HOSTS_MAX];
	struct packet *queue;
	size_t first;
	size_t count;
	size_t capacity;
	int64_t cpu_start_ns; /* of the node whose code runs */
	void (*deliver)(void *ctx, const struct packet *packet);
	void *ctx;
};

struct sweep *sweep_begin(const char *role, const char *by, const char *names);
struct point *sweep_add_point(struct sweep *sweep, double x);
void sweep_fit(const struct sweep *sweep, uint32_t value, struct fit *fit);
void sweep_print(FILE *file);
void sweep_write_json(FILE *file);
int sweep_write_plot(const char *folder);

void meter_init(struct meter *meter);
int64_t cpu_ns(void);
uint32_t events_in_tick(uint32_t tick, uint32_t ticks_a_second, double rate);

void net_init(
    struct net *net, void (*deliver)(void *, const struct packet *), void *ctx);
void net_free(struct net *net);
void net_reset_counts(struct net *net);
void net_send(struct net *net, uint32_t from, uint32_t to, int channel,
    const struct buf *bytes);
void net_deliver_all(struct net *net);
void net_cpu_start(struct net *net);
void net_cpu_stop(struct net *net, uint32_t host);
void net_average_cost(const struct net *net, uint32_t first, uint32_t last,
    double seconds, double *values);

void slopes_entry(void);
void slopes_member(void);
void slopes_config(void);
void slopes_replica(void);
void slopes_claims(void);
void slopes_bills(void);
void slopes_bills_disconnected(void);
void slopes_granter(void);
void slopes_feed(void);

#endif
