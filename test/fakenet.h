#ifndef CF_TEST_FAKENET_H
#define CF_TEST_FAKENET_H

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

/*
 * A simulated network in virtual time: messages of type M are delayed, lost,
 * duplicated and reordered at random from one seed, and links can be cut in one
 * direction.
 */
template <typename M> class FakeNet
{
      public:
	explicit FakeNet(uint64_t seed) : rng(seed)
	{
	}

	int64_t now_us = 1000000;
	int64_t delay_min_us = 500;
	int64_t delay_max_us = 1500;
	unsigned lose_percent = 0;
	unsigned duplicate_percent = 0;

	void cut(int from, int to)
	{
		cuts.insert({from, to});
	}

	void mend(int from, int to)
	{
		cuts.erase({from, to});
	}

	void isolate(int node, int nodes)
	{
		for (int other = 0; other < nodes; other++) {
			cut(node, other);
			cut(other, node);
		}
	}

	void mend_all()
	{
		cuts.clear();
	}

	void send(int from, int to, const M &message)
	{
		if (cuts.count({from, to}) != 0 || chance(lose_percent))
			return;
		enqueue(from, to, message);
		if (chance(duplicate_percent))
			enqueue(from, to, message);
	}

	/* Delivers all messages due up to a time, in order of their time. */
	void run_until(int64_t until_us,
	    const std::function<void(int from, int to, const M &)> &deliver)
	{
		while (!pending.empty() && pending.begin()->first <= until_us) {
			auto item = pending.begin()->second;

			now_us = pending.begin()->first;
			pending.erase(pending.begin());
			if (cuts.count({item.from, item.to}) == 0)
				deliver(item.from, item.to, item.message);
		}
		now_us = until_us;
	}

	void drop_to(int node)
	{
		for (auto it = pending.begin(); it != pending.end();)
			it = it->second.to == node ? pending.erase(it)
						   : std::next(it);
	}

      private:
	struct item {
		int from;
		int to;
		M message;
	};

	bool chance(unsigned percent)
	{
		return percent > 0 && rng() % 100 < percent;
	}

	void enqueue(int from, int to, const M &message)
	{
		int64_t span = delay_max_us - delay_min_us + 1;
		int64_t at = now_us + delay_min_us + (int64_t)(rng() % span);

		pending.insert({at, item{from, to, message}});
	}

	std::mt19937_64 rng;
	std::multimap<int64_t, item> pending;
	std::set<std::pair<int, int>> cuts;
};

#endif
