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

/* A granter, its successors, and what the instances believe they hold. */
struct Leases {
	struct gr *gr = nullptr;
	int64_t now_us = 1000000;
	bool skip_wait;
	struct gr_lease held[INSTANCES] = {};

	explicit Leases(bool skip) : skip_wait(skip)
	{
		replace();
	}

	~Leases()
	{
		gr_free(gr);
	}

	void announce(uint16_t running)
	{
		struct cf_announce a = {};

		a.incarnation = 1;
		a.warmth = CF_COLD;
		a.cold_slots = COLD_SLOTS;
		a.running = running;
		a.reported_us = now_us;
		gr_announce(gr, &a, now_us);
	}

	void replace()
	{
		struct gr_options o = {};

		if (gr != nullptr)
			gr_free(gr);
		o.max_servers = 1;
		o.max_instances = INSTANCES;
		o.now_us = now_us;
		o.unsafe_skip_wait = skip_wait;
		gr = gr_new(&o);
		announce(0);
	}

	void ask(uint16_t instance, uint16_t wanted)
	{
		struct gr_lease lease;

		if (gr_ask(gr, instance, 0, 1, wanted, now_us, &lease))
			held[instance] = lease;
	}

	void give(uint16_t instance)
	{
		gr_give(gr, instance, 0, held[instance].credits, now_us);
		held[instance].credits = 0;
	}

	/* Returns what all instances together may send to the server. */
	uint32_t total() const
	{
		uint32_t sum = 0;

		for (const struct gr_lease &l : held)
			sum += l.until_us > now_us ? l.credits : 0;
		return sum;
	}
};

/* Returns the most that was ever leased at once in a run of operations. */
uint32_t
most_leased(const std::vector<uint32_t> &ops, bool skip_wait)
{
	Leases l(skip_wait);
	uint32_t most = 0;

	for (uint32_t op : ops) {
		uint16_t instance = (uint16_t)(op / 8 % INSTANCES);

		switch (op % 8) {
		case 0:
		case 1:
		case 2:
			l.ask(instance, (uint16_t)(op / 64 % 4));
			break;
		case 3:
			l.give(instance);
			break;
		case 4:
			l.now_us += op / 64 % 8 * 1000000;
			break;
		case 5:
		case 6:
			l.announce((uint16_t)l.total());
			break;
		case 7:
			if (op / 64 % 4 == 0)
				l.replace();
			break;
		}
		most = std::max(most, l.total());
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

/* One ask before and one after the granter was replaced. */
TEST(Granter, WaitsOutItsPredecessorsLeases)
{
	const uint32_t ask_3 = 0 + 64 * 3, pass_5s = 4 + 64 * 5;
	const uint32_t report = 5, replace = 7, other = 8;
	const std::vector<uint32_t> ops = {
	    pass_5s, pass_5s, report, ask_3, replace, report, ask_3 + other};

	EXPECT_EQ(most_leased(ops, false), 3u);
	EXPECT_EQ(most_leased(ops, true), 6u);
}

/* What ran under a lease that ended counts until a report shows it gone. */
TEST(Granter, CountsWorkWhoseLeaseHasEnded)
{
	Leases l(false);

	l.now_us += GR_LEASE_US + 1;
	l.announce(0);
	l.ask(0, 2);
	EXPECT_EQ(l.held[0].credits, 2);
	l.now_us += GR_LEASE_US + 1;
	l.ask(1, 3);
	EXPECT_EQ(l.held[1].credits, 1);
	l.announce(1); /* one of the two has ended */
	l.ask(1, 3);
	EXPECT_EQ(l.held[1].credits, 2);
	l.announce(0);
	l.ask(1, 3);
	EXPECT_EQ(l.held[1].credits, 3);
}

} // namespace
