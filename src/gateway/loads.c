#include "gateway/loads.h"

#include <string.h>

#include "gateway/entry.h"
#include "route/loads.h"
#include "wire/cluster.pb-c.h"

enum {
	PERIOD_MIN_US = 100000, /* between two reports, with few servers */
	/*
	 * Time between two reports for each server: its loads take 10 bytes,
	 * and an instance receives up to 8,000 bytes of reports a second.
	 */
	PERIOD_PER_SERVER_US = 1250,
	/*
	 * Time between two reports of shares, which take up to 12 bytes a row
	 * and at most 1,700 bytes a second in each direction.
	 */
	SHARES_PERIOD_US = 450000,
	SHARES_UNITS = 100, /* in which reports count a cost a second */
	SHARES_RATE_MAX = 100000000, /* in these; no report counts for more */
	REPORT_LIFETIME_US = 1500000, /* unless another report follows */
	REPORTERS_MAX = 512
};

struct gw_loads {
	struct gw *gw;
	struct load_reports *entry_reports; /* from entry instances */
	/* Sums reported by other control instances */
	struct load_reports *control_reports;
	/* The same of shares: loads_entry with their keys for servers */
	struct load_reports *entry_shares;
	struct load_reports *control_shares;
	int64_t shares_sent_us;
	bool sends_shares; /* in this period */
	/* Entry instances that report to this one, and when they last did. */
	uint32_t reporters[REPORTERS_MAX];
	int64_t heard_us[REPORTERS_MAX];
	uint32_t reporter_count;
	struct loads_schedule schedule; /* of what this instance sends */
	struct loop_timer *timer;
};

static uint32_t
to_units(double per_s)
{
	double units = per_s * SHARES_UNITS + 0.5;

	return units < SHARES_RATE_MAX ? (uint32_t)units : SHARES_RATE_MAX;
}

/* What a message says of servers, and of shares unless there is none. */
struct report {
	bool of_entry; /* the sender's own, else a sum */
	size_t count;
	struct loads_entry loads[LOADS_SERVERS_MAX];
	size_t share_count;
	struct share_row shares[SHARES_ROWS_MAX];
};

/* Adds shares in the columns of a message, which the caller provides. */
static void
set_share_columns(const struct report *report, Clpb__Loads *pb,
    uint32_t columns[3][SHARES_ROWS_MAX])
{
	for (size_t i = 0; i < report->share_count; i++) {
		const struct share_row *row = &report->shares[i];

		columns[0][i] = row->workspace;
		columns[1][i] = to_units(row->demand);
		columns[2][i] = to_units(row->served);
	}
	pb->n_share_keys = pb->n_share_demand = pb->n_share_served =
	    report->share_count;
	pb->share_keys = columns[0];
	pb->share_demand = columns[1];
	pb->share_served = columns[2];
}

/* Sends a report to an instance. */
static void
send_report(struct gw_loads *reports, uint32_t to, const struct report *report)
{
	static uint32_t columns[3][LOADS_SERVERS_MAX];
	uint32_t share_columns[3][SHARES_ROWS_MAX];
	const struct loads_entry *loads = report->loads;
	size_t count = report->count;
	Clpb__Loads pb = CLPB__LOADS__INIT;
	struct buf bytes;

	for (size_t i = 0; i < count; i++) {
		columns[0][i] = loads[i].server;
		columns[1][i] = loads[i].pending_ms;
		columns[2][i] = loads[i].running;
	}
	pb.n_servers = pb.n_pending_ms = pb.n_running = count;
	pb.servers = columns[0];
	pb.pending_ms = columns[1];
	pb.running = columns[2];
	pb.of_entry = report->of_entry;
	set_share_columns(report, &pb, share_columns);
	buf_init(&bytes, reports->gw->alloc);
	buf_reserve(&bytes, clpb__loads__get_packed_size(&pb));
	bytes.len = clpb__loads__pack(&pb, bytes.data);
	gw_send_message(reports->gw, to, PEER_CLUSTER_LOADS, &bytes);
	buf_free(&bytes);
}

/* Lists the shares of all services of this entry instance. */
static size_t
list_own_shares(struct gw_loads *reports, struct share_row *out)
{
	int64_t now_us = loop_now_us(reports->gw->loop);
	size_t count = 0;

	for (const struct gw_entry_service *s = reports->gw->entry->services;
	     s != NULL && reports->sends_shares; s = s->next)
		count += gw_waiting_report_shares(
		    &s->waiting, out + count, SHARES_ROWS_MAX - count, now_us);
	return count;
}

/*
 * Reports this entry instance's own loads to the nearest control instance, at a
 * lower rate while there are none.
 */
static void
send_own_loads(struct gw_loads *reports)
{
	static struct report report = {.of_entry = true};
	uint32_t to = gw_nearest_control_instance(reports->gw);

	report.count = pool_get_own_loads(
	    reports->gw->entry->pool, report.loads, LOADS_SERVERS_MAX);
	report.share_count = list_own_shares(reports, report.shares);
	if (to != 0 &&
	    loads_is_due(&reports->schedule, report.count + report.share_count,
		loop_now_us(reports->gw->loop)))
		send_report(reports, to, &report);
}

/*
 * Sums the shares that entry instances report, except one, and those that
 * others tells unless it is NULL.
 */
static size_t
sum_shares(struct gw_loads *reports, uint32_t except,
    struct load_reports *others, struct share_row *out)
{
	static struct loads_entry loads[LOADS_SERVERS_MAX];
	static struct share_row rows[LOADS_SERVERS_MAX];
	size_t count;

	if (!reports->sends_shares)
		return 0;
	count = loads_sum_with(reports->entry_shares, except, others,
	    loop_now_us(reports->gw->loop), loads, LOADS_SERVERS_MAX);
	for (size_t i = 0; i < count; i++)
		rows[i] = (struct share_row){loads[i].server,
		    (double)loads[i].pending_ms / SHARES_UNITS,
		    (double)loads[i].running / SHARES_UNITS};
	count = shares_cut(rows, count, SHARES_ROWS_MAX);
	memcpy(out, rows, count * sizeof(*out));
	return count;
}

static void
remove_reporter(struct gw_loads *reports, uint32_t i)
{
	reports->reporter_count--;
	reports->reporters[i] = reports->reporters[reports->reporter_count];
	reports->heard_us[i] = reports->heard_us[reports->reporter_count];
}

/* Tells an entry instance the loads and shares of all others. */
static void
send_others(struct gw_loads *reports, uint32_t to, int64_t now_us)
{
	static struct report report;

	report.count = loads_sum_with(reports->entry_reports, to,
	    reports->control_reports, now_us, report.loads, LOADS_SERVERS_MAX);
	report.share_count =
	    sum_shares(reports, to, reports->control_shares, report.shares);
	send_report(reports, to, &report);
}

/* Tells each entry instance that reports here the loads of all others. */
static void
send_to_reporters(struct gw_loads *reports)
{
	int64_t now_us = loop_now_us(reports->gw->loop);

	for (uint32_t i = 0; i < reports->reporter_count;) {
		if (now_us - reports->heard_us[i] > REPORT_LIFETIME_US) {
			remove_reporter(reports, i);
			continue;
		}
		send_others(reports, reports->reporters[i++], now_us);
	}
}

/* Tells the other control instances the sum of the reports received here. */
static void
send_to_control(struct gw_loads *reports)
{
	static struct report report;
	uint32_t control[64];
	uint32_t n = gw_list_control_instances(reports->gw, control, 64);
	bool is_empty;

	report.count = loads_sum_others(reports->entry_reports, 0,
	    loop_now_us(reports->gw->loop), report.loads, LOADS_SERVERS_MAX);
	report.share_count = sum_shares(reports, 0, NULL, report.shares);
	is_empty = report.count == 0 && report.share_count == 0;
	if (is_empty && reports->schedule.was_empty)
		return;
	reports->schedule.was_empty = is_empty;
	for (uint32_t i = 0; i < n; i++)
		send_report(reports, control[i], &report);
}

/*
 * Timer: sends what this instance reports, with an interval that grows with the
 * number of servers.
 */
static void
on_timer(void *ctx)
{
	struct gw_loads *reports = ctx;
	int64_t now_us = loop_now_us(reports->gw->loop);
	int64_t period_us =
	    (int64_t)registry_live_count(reports->gw->registry) *
	    PERIOD_PER_SERVER_US;

	if (period_us < PERIOD_MIN_US)
		period_us = PERIOD_MIN_US;
	reports->timer =
	    loop_after(reports->gw->loop, period_us, on_timer, reports);
	reports->sends_shares =
	    now_us - reports->shares_sent_us >= SHARES_PERIOD_US;
	if (reports->sends_shares)
		reports->shares_sent_us = now_us;
	if (reports->gw->entry != NULL) {
		send_own_loads(reports);
	} else {
		send_to_control(reports);
		send_to_reporters(reports);
	}
}

/*
 * Adds an instance to those that are told the loads of the others at each
 * timer, for REPORT_LIFETIME_US, or tells one without requests once.
 */
static void
answer_reporter(
    struct gw_loads *reports, uint32_t from, bool is_idle, int64_t now_us)
{
	uint32_t i = 0;

	while (i < reports->reporter_count && reports->reporters[i] != from)
		i++;
	if (is_idle) {
		if (i == reports->reporter_count)
			send_others(reports, from, now_us);
		return;
	}
	if (i == REPORTERS_MAX)
		return;
	if (i == reports->reporter_count)
		reports->reporters[reports->reporter_count++] = from;
	reports->heard_us[i] = now_us;
}

/* Keeps the shares that another instance told, as bounded. */
static void
store_shares(struct gw_loads *reports, uint32_t from, bool of_entry,
    struct share_row *rows, size_t count)
{
	struct loads_entry loads[SHARES_ROWS_MAX];

	if (of_entry)
		shares_bound_report(rows, count);
	for (size_t i = 0; i < count; i++)
		loads[i] = (struct loads_entry){rows[i].workspace,
		    to_units(rows[i].demand), to_units(rows[i].served)};
	loads_store_report(
	    of_entry ? reports->entry_shares : reports->control_shares, from,
	    loads, count, loop_now_us(reports->gw->loop));
}

/*
 * Handles the shares in a message, which instances of an older build do not
 * send.  Reports without any leave the former ones to expire.
 */
static void
receive_shares(struct gw_loads *reports, uint32_t from, const Clpb__Loads *pb)
{
	struct share_row rows[SHARES_ROWS_MAX];
	size_t count = pb->n_share_keys;

	if (count == 0 || count > SHARES_ROWS_MAX ||
	    pb->n_share_demand != count || pb->n_share_served != count)
		return;
	for (size_t i = 0; i < count; i++)
		rows[i] = (struct share_row){pb->share_keys[i],
		    (double)pb->share_demand[i] / SHARES_UNITS,
		    (double)pb->share_served[i] / SHARES_UNITS};
	if (reports->gw->entry == NULL) {
		store_shares(reports, from, pb->of_entry, rows, count);
		return;
	}
	for (struct gw_entry_service *s = reports->gw->entry->services;
	     s != NULL; s = s->next)
		gw_waiting_set_shares(
		    &s->waiting, rows, count, loop_now_us(reports->gw->loop));
}

/*
 * Handles a report of an entry instance, or a sum of a control instance.  One
 * that can't be decoded is ignored.
 */
void
gw_loads_receive(
    struct gw_loads *reports, uint32_t from, const uint8_t *data, uint32_t len)
{
	static struct loads_entry loads[LOADS_SERVERS_MAX];
	Clpb__Loads *pb = clpb__loads__unpack(NULL, len, data);
	int64_t now_us = loop_now_us(reports->gw->loop);
	size_t count = 0;

	if (pb == NULL)
		return;
	if (pb->n_pending_ms != pb->n_servers ||
	    pb->n_running != pb->n_servers) {
		clpb__loads__free_unpacked(pb, NULL);
		return;
	}
	receive_shares(reports, from, pb);
	for (; count < pb->n_servers && count < LOADS_SERVERS_MAX; count++)
		loads[count] = (struct loads_entry){pb->servers[count],
		    pb->pending_ms[count], pb->running[count]};
	if (reports->gw->entry != NULL) {
		pool_set_peer_loads(
		    reports->gw->entry->pool, loads, count, now_us);
	} else if (pb->of_entry) {
		loads_store_report(
		    reports->entry_reports, from, loads, count, now_us);
		answer_reporter(
		    reports, from, count == 0 && pb->n_share_keys == 0, now_us);
	} else {
		loads_store_report(
		    reports->control_reports, from, loads, count, now_us);
	}
	clpb__loads__free_unpacked(pb, NULL);
}

/* Starts the exchange of load reports. */
struct gw_loads *
gw_loads_new(struct gw *gw)
{
	struct gw_loads *reports = alloc_zero(gw->alloc, 1, sizeof(*reports));

	reports->gw = gw;
	reports->entry_reports = loads_new(gw->alloc, REPORT_LIFETIME_US);
	reports->entry_shares = loads_new(gw->alloc, REPORT_LIFETIME_US);
	reports->control_reports = loads_new(gw->alloc, REPORT_LIFETIME_US);
	reports->control_shares = loads_new(gw->alloc, REPORT_LIFETIME_US);
	reports->timer = loop_after(gw->loop, PERIOD_MIN_US, on_timer, reports);
	return reports;
}

/* Stops the exchange.  reports may be NULL. */
void
gw_loads_free(struct gw_loads *reports)
{
	if (reports == NULL)
		return;
	loop_cancel(reports->timer);
	loads_free(reports->entry_reports);
	loads_free(reports->entry_shares);
	loads_free(reports->control_reports);
	loads_free(reports->control_shares);
	alloc_free(reports->gw->alloc, reports);
}
