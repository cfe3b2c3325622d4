#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakenet.h"
#include "matrix.h"
#include "state/cfgsync.h"
#include "state/lease.h"

/*
 * Configuration distribution: replica 0 is the source, instance 1 the relay of
 * a data centre, 2 to 4 its instances.  A document is its revision as text.
 */

enum {
	SOURCE = 0,
	RELAY = 1,
	NODES = 5
};

static const int64_t MS = 1000;

struct World {
	FakeNet<std::string> net;
	struct cfgsync_source *source = nullptr;
	struct cfgsync_node *nodes[NODES] = {};
	struct cfgsync_options options[NODES] = {};
	struct Port {
		World *world;
		int self;
	} ports[NODES];
	std::vector<uint64_t> in_force[NODES];
	std::vector<uint64_t> due_in_force[NODES], due_persist[NODES];
	std::map<int, std::pair<uint64_t, std::string>> disks;
	bool frozen[NODES] = {};
	uint64_t accepted = 0;
	std::string went_back;

	explicit World(uint64_t seed) : net(seed)
	{
		for (int i = 0; i < NODES; i++) {
			ports[i] = {this, i};
			options[i].emit = emit;
			options[i].ctx = &ports[i];
			options[i].instance = i;
			options[i].incarnation = 1;
			options[i].disk = i == 2;
		}
	}

	~World()
	{
		cfgsync_source_free(source);
		for (auto *node : nodes)
			cfgsync_node_free(node);
	}

	void start()
	{
		source = cfgsync_source_new(&options[SOURCE]);
		for (int i = RELAY; i < NODES; i++)
			start_node(i);
	}

	void start_node(int i)
	{
		uint32_t up = i == RELAY ? SOURCE : RELAY;

		cfgsync_node_free(nodes[i]);
		nodes[i] = cfgsync_node_new(&options[i]);
		if (disks.count(i) != 0)
			cfgsync_node_restore(nodes[i], disks[i].first,
			    (const uint8_t *)disks[i].second.data(),
			    disks[i].second.size());
		cfgsync_node_set_relay(nodes[i], i == RELAY);
		cfgsync_node_set_upstream(nodes[i], &up, 1);
	}

	void accept()
	{
		std::string text = std::to_string(++accepted);

		cfgsync_source_accept(source, accepted,
		    (const uint8_t *)text.data(), text.size(),
		    (const uint8_t *)text.data(), text.size());
	}

	static void emit(void *ctx, const struct cfgsync_action *a)
	{
		auto *port = static_cast<Port *>(ctx);
		World *w = port->world;

		if (a->kind == CFGSYNC_SEND) {
			struct buf out;

			buf_init(&out, nullptr);
			cfgsync_msg_encode(a->msg, &out);
			w->net.send(port->self, a->to,
			    std::string(buf_text(&out), out.len));
			buf_free(&out);
		} else if (a->kind == CFGSYNC_IN_FORCE) {
			auto &seen = w->in_force[port->self];

			if (!seen.empty() && a->revision < seen.back())
				w->went_back =
				    "instance " + std::to_string(port->self) +
				    ": " + std::to_string(seen.back()) +
				    " to " + std::to_string(a->revision);
			if (std::to_string(a->revision) !=
			    buf_text(a->document))
				w->went_back = "document of another revision";
			seen.push_back(a->revision);
			w->due_in_force[port->self].push_back(a->revision);
		} else if (a->kind == CFGSYNC_PERSIST) {
			w->due_persist[port->self].push_back(a->revision);
		}
	}

	void deliver(int from, int to, const std::string &bytes)
	{
		struct cfgsync_msg msg;
		struct buf scratch;

		if (frozen[to])
			return;
		buf_init(&scratch, nullptr);
		ASSERT_EQ(
		    cfgsync_msg_decode(&msg, (const uint8_t *)bytes.data(),
			bytes.size(), &scratch),
		    0);
		if (to == SOURCE)
			cfgsync_source_receive(source, net.now_us, from, &msg);
		else
			cfgsync_node_receive(nodes[to], net.now_us, from, &msg);
		buf_free(&scratch);
		settle();
	}

	/* What the caller does after a step: compile, sync. */
	void settle()
	{
		for (int i = RELAY; i < NODES; i++) {
			for (uint64_t r : due_in_force[i])
				cfgsync_node_set_in_force(
				    nodes[i], net.now_us, r);
			due_in_force[i].clear();
			for (uint64_t r : due_persist[i]) {
				disks[i] = {r, std::to_string(r)};
				cfgsync_node_set_persisted(
				    nodes[i], net.now_us, r);
			}
			due_persist[i].clear();
		}
	}

	void run(int64_t us)
	{
		int64_t until = net.now_us + us;

		while (net.now_us < until) {
			int64_t next = std::min(until, net.now_us + 10 * MS);

			net.run_until(
			    next, [&](int f, int t, const std::string &m) {
				    deliver(f, t, m);
			    });
			cfgsync_source_set_fresh_until(
			    source, net.now_us + 500 * MS);
			for (int i = RELAY; i < NODES; i++) {
				if (!frozen[i])
					cfgsync_node_tick(nodes[i], net.now_us);
			}
			settle();
		}
	}

	size_t unconfirmed()
	{
		uint32_t who[NODES];

		return cfgsync_source_list_unconfirmed(
		    source, accepted, who, NODES);
	}
};

TEST(Cfgsync, AChangeIsConfirmedByAllWithinASecond)
{
	World w(1);

	w.start();
	for (int i = RELAY; i < NODES; i++)
		cfgsync_source_expect(w.source, i, 1);
	w.accept();
	w.run(3000 * MS);
	ASSERT_EQ(w.unconfirmed(), 0u);
	for (int change = 0; change < 20; change++) {
		w.accept();
		w.run(200 * MS);
		uint32_t who[NODES] = {};
		EXPECT_EQ(cfgsync_source_list_unconfirmed(
			      w.source, w.accepted, who, NODES),
		    0u)
		    << who[0] << " " << w.in_force[who[0]].back() << " of "
		    << w.accepted;
	}
	EXPECT_EQ(w.went_back, "");
	EXPECT_FALSE(cfgsync_node_isolated(w.nodes[4], w.net.now_us));
}

/* Late messages of older revisions, a crash, a cut: nothing goes back. */
static std::string
revisions_stay_monotone(uint64_t seed, bool unsafe)
{
	World w(seed);
	std::mt19937_64 rng(seed);

	for (auto &o : w.options)
		o.unsafe_any_revision = unsafe;
	w.net.delay_max_us = 2000 * MS;
	w.net.lose_percent = 20;
	w.net.duplicate_percent = 20;
	w.start();
	for (int step = 0; step < 60; step++) {
		if (rng() % 2)
			w.accept();
		if (rng() % 8 == 0)
			w.start_node(2);
		w.run((int64_t)(rng() % 400) * MS);
	}
	return w.went_back;
}

TEST(Cfgsync, WithoutTheRevisionCheckARevisionGoesBack)
{
	bool seen = false;

	for (uint64_t seed = 1; seed < 20 && !seen; seed++)
		seen = revisions_stay_monotone(seed, true) != "";
	EXPECT_TRUE(seen);
}

RC_GTEST_PROP(Cfgsync, RevisionsNeverGoBack, ())
{
	const auto seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);

	RC_ASSERT(revisions_stay_monotone(seed, false) == "");
}

/* How long an instance that hears nothing more serves after it was cut off. */
static int64_t
served_cut_off(bool unsafe, bool slow_answers)
{
	World w(3);

	for (auto &o : w.options)
		o.unsafe_lease_from_answer = unsafe;
	w.start();
	w.accept();
	w.run(3000 * MS);
	if (slow_answers) {
		w.net.delay_min_us = w.net.delay_max_us = 3000 * MS;
		w.run(20000 * MS);
	}
	int64_t cut_us = w.net.now_us;
	w.net.isolate(SOURCE, NODES);
	while (!cfgsync_node_isolated(w.nodes[3], w.net.now_us))
		w.run(10 * MS);
	return w.net.now_us - cut_us;
}

TEST(Cfgsync, IsolationIsBoundedByTheLease)
{
	EXPECT_LE(served_cut_off(false, false), 5010 * MS);
	EXPECT_LE(served_cut_off(false, true), 5010 * MS);
	EXPECT_GT(served_cut_off(true, true), 5010 * MS)
	    << "a lease counted from the answer outlives its bound";
}

TEST(Cfgsync, AFrozenInstanceWakesIsolated)
{
	World w(4);

	w.start();
	w.accept();
	w.run(3000 * MS);
	w.frozen[4] = true;
	w.run(6000 * MS);
	/* Asked before any tick, as before a dispatch. */
	EXPECT_TRUE(cfgsync_node_isolated(w.nodes[4], w.net.now_us));
	w.frozen[4] = false;
	w.run(3000 * MS);
	EXPECT_FALSE(cfgsync_node_isolated(w.nodes[4], w.net.now_us));
}

/* The relay of a data centre cut off from all replicas restarts empty. */
static bool
restarts_with_newest(bool unsafe)
{
	World w(5);

	for (auto &o : w.options)
		o.unsafe_skip_fetch = unsafe;
	w.start();
	w.accept();
	w.accept();
	w.run(3000 * MS);
	w.net.isolate(SOURCE, NODES);
	w.start_node(RELAY);
	w.start_node(2); /* has a disk */
	w.run(4000 * MS);
	w.start_node(4);
	w.run(4000 * MS);
	return cfgsync_node_revision(w.nodes[RELAY]) == 2 &&
	       cfgsync_node_revision(w.nodes[2]) == 2 &&
	       cfgsync_node_revision(w.nodes[4]) == 2;
}

TEST(Cfgsync, ACutOffDataCentreRestartsWithTheNewestItHad)
{
	EXPECT_TRUE(restarts_with_newest(false));
	EXPECT_FALSE(restarts_with_newest(true));
}

TEST(Cfgsync, LargeDocumentsTravelInChunks)
{
	struct World w(6);
	std::string big(5 * CY_CHUNK_BYTES + 17, 'x');

	w.start();
	cfgsync_source_accept(
	    w.source, 7, (const uint8_t *)big.data(), big.size(), nullptr, 0);
	w.run(4000 * MS);
	for (int i = RELAY; i < NODES; i++) {
		ASSERT_EQ(cfgsync_node_revision(w.nodes[i]), 7u) << i;
		EXPECT_EQ(cfgsync_node_document(w.nodes[i])->len, big.size());
	}
}

/* Leases: random candidates, pauses and delays; never two holders. */
static bool
two_holders(uint64_t seed, struct lease_options options)
{
	enum {
		VOTERS = 3,
		CANDIDATES = 3
	};
	struct Ask {
		int candidate, voter;
		uint64_t round;
		int64_t at_us;
	};
	std::mt19937_64 rng(seed);
	struct lease_voter votes[VOTERS];
	struct lease_holder holds[CANDIDATES];
	int64_t now = 1000000, asleep_until[CANDIDATES] = {};
	std::vector<Ask> asks;

	for (auto &vote : votes)
		lease_voter_init(&vote, &options, 0);
	for (auto &hold : holds)
		lease_holder_init(&hold, &options, VOTERS);
	for (int step = 0; step < 3000; step++) {
		now += (int64_t)(rng() % 20) * MS;
		if (rng() % 300 == 0)
			lease_voter_init(&votes[rng() % VOTERS], &options, now);
		int holders = 0;
		for (int c = 0; c < CANDIDATES; c++) {
			bool wakes =
			    asleep_until[c] > 0 && asleep_until[c] <= now;

			/* A process that wakes acts before it looks. */
			if (asleep_until[c] <= now &&
			    lease_holder_is_valid(&holds[c], now))
				holders++;
			if (wakes)
				asleep_until[c] = 0;
			if (asleep_until[c] > now)
				continue;
			if (rng() % 200 == 0)
				asleep_until[c] =
				    now + (int64_t)(rng() % 8000) * MS;
			if (lease_holder_tick(&holds[c], now, rng() % 1000))
				for (int v = 0; v < VOTERS; v++)
					asks.push_back({c, v, holds[c].round,
					    now + (int64_t)(rng() % 300) * MS});
		}
		if (holders > 1)
			return true;
		for (size_t i = 0; i < asks.size();) {
			Ask a = asks[i];
			uint64_t fence = 0;

			if (a.at_us > now || asleep_until[a.candidate] > now) {
				i++;
				continue;
			}
			bool granted = lease_voter_request(
			    &votes[a.voter], now, a.candidate + 1, &fence);
			lease_holder_on_reply(&holds[a.candidate], now, a.voter,
			    a.round, granted, fence);
			asks.erase(asks.begin() + (long)i);
		}
	}
	return false;
}

RC_GTEST_PROP(Lease, AtMostOneHolder, ())
{
	const auto seed = *rc::gen::inRange<uint64_t>(1, 1u << 30);

	RC_ASSERT(!two_holders(seed, {}));
}

TEST(Lease, WithoutItsChecksTwoHoldAtOnce)
{
	struct lease_options no_check = {}, no_wait = {};
	bool check = false, wait = false;

	no_check.unsafe_skip_check = true;
	no_check.unsafe_skip_jump = true;
	no_wait.unsafe_skip_wait = true;
	for (uint64_t seed = 1; seed < 200; seed++) {
		check = check || two_holders(seed, no_check);
		wait = wait || two_holders(seed, no_wait);
	}
	EXPECT_TRUE(check);
	EXPECT_TRUE(wait);
}

TEST(Lease, OrdersWaitTheOldLeaseOutWhereFencingIsIgnored)
{
	struct lease_options options = {};
	struct lease_orders orders;

	lease_orders_init(&orders, &options);
	EXPECT_FALSE(lease_orders_allowed(&orders, 0, true));
	lease_orders_set_leader(&orders, 1000 * MS, 7, 3500 * MS);
	EXPECT_TRUE(lease_orders_allowed(&orders, 1001 * MS, true));
	EXPECT_FALSE(lease_orders_allowed(&orders, 1001 * MS, false));
	lease_orders_set_leader(&orders, 3000 * MS, 7, 6500 * MS);
	EXPECT_TRUE(lease_orders_allowed(&orders, 4000 * MS, false));
	EXPECT_FALSE(lease_orders_allowed(&orders, 6500 * MS, true))
	    << "lease over";
}
