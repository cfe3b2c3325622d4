#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "core/granter.h"

namespace
{

enum {
	INSTANCES = 4,
	COLD_SLOTS = 3
};

/* A granter, its successors, and the leases that the instances hold. */
struct LeaseWorld {
	struct granter *gr = nullptr;
	int64_t now_us = 1000000;
	bool skip_wait;
	struct granter_lease leases[INSTANCES] = {};

	explicit LeaseWorld(bool skip) : skip_wait(skip)
	{
		replace_granter();
	}

	~LeaseWorld()
	{
		granter_free(gr);
	}

	void announce(uint16_t running)
	{
		struct cf_announce a = {};

		a.incarnation = 1;
		a.warmth = CF_COLD;
		a.cold_slots = COLD_SLOTS;
		a.running = running;
		a.reported_us = now_us;
		granter_update_server(gr, &a, now_us);
	}

	void replace_granter()
	{
		struct granter_options o = {};

		if (gr != nullptr)
			granter_free(gr);
		o.max_servers = 1;
		o.max_instances = INSTANCES;
		o.now_us = now_us;
		o.unsafe_skip_wait = skip_wait;
		gr = granter_new(&o);
		announce(0);
	}

	void ask_lease(uint16_t instance, uint16_t wanted)
	{
		struct granter_lease lease;

		if (granter_lease_credits(
			gr, instance, 0, 1, wanted, now_us, &lease))
			leases[instance] = lease;
	}

	void return_credits(uint16_t instance)
	{
		granter_return_credits(
		    gr, instance, 0, leases[instance].credits, now_us);
		leases[instance].credits = 0;
	}

	/* Returns how many requests all instances together may send. */
	uint32_t live_credits() const
	{
		uint32_t sum = 0;

		for (const struct granter_lease &l : leases)
			sum += l.until_us > now_us ? l.credits : 0;
		return sum;
	}
};

/* Returns the most credits that were leased at once in a run of operations. */
uint32_t
most_leased(const std::vector<uint32_t> &ops, bool skip_wait)
{
	LeaseWorld l(skip_wait);
	uint32_t most = 0;

	for (uint32_t op : ops) {
		uint16_t instance = (uint16_t)(op / 8 % INSTANCES);

		switch (op % 8) {
		case 0:
		case 1:
		case 2:
			l.ask_lease(instance, (uint16_t)(op / 64 % 4));
			break;
		case 3:
			l.return_credits(instance);
			break;
		case 4:
			l.now_us += op / 64 % 8 * 1000000;
			break;
		case 5:
		case 6:
			l.announce((uint16_t)l.live_credits());
			break;
		case 7:
			if (op / 64 % 4 == 0)
				l.replace_granter();
			break;
		}
		most = std::max(most, l.live_credits());
	}
	return most;
}

RC_GTEST_PROP(Granter, NeverLeasesMoreThanAColdServerBears, ())
{
	const auto ops = *rc::gen::resize(300,
	    rc::gen::container<std::vector<uint32_t>>(
		rc::gen::resize(100, rc::gen::inRange<uint32_t>(0, 1 << 16))));

	RC_ASSERT(most_leased(ops, false) <= COLD_SLOTS);
}

/*
 * Guards against a new granter that leases credits before the leases of its
 * predecessor have expired: one instance asks before and another one after the
 * granter is replaced.
 */
TEST(Granter, WaitsOutItsPredecessorsLeases)
{
	const uint32_t ask_3 = 0 + 64 * 3, pass_5s = 4 + 64 * 5;
	const uint32_t report = 5, replace = 7, other = 8;
	const std::vector<uint32_t> ops = {
	    pass_5s, pass_5s, report, ask_3, replace, report, ask_3 + other};

	EXPECT_EQ(most_leased(ops, false), 3u);
	EXPECT_EQ(most_leased(ops, true), 6u);
}

/*
 * Guards against leasing the credits of an expired lease again while its
 * requests still run: they count until a load report shows that they ended.
 */
TEST(Granter, CountsWorkWhoseLeaseHasEnded)
{
	LeaseWorld l(false);

	l.now_us += GRANTER_LEASE_US + 1;
	l.announce(0);
	l.ask_lease(0, 2);
	EXPECT_EQ(l.leases[0].credits, 2);
	l.now_us += GRANTER_LEASE_US + 1;
	l.ask_lease(1, 3);
	EXPECT_EQ(l.leases[1].credits, 1);
	l.announce(1); /* one of the two has ended */
	l.ask_lease(1, 3);
	EXPECT_EQ(l.leases[1].credits, 2);
	l.announce(0);
	l.ask_lease(1, 3);
	EXPECT_EQ(l.leases[1].credits, 3);
}

} // namespace
