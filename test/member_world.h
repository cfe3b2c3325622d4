#ifndef CF_TEST_MEMBER_WORLD_H
#define CF_TEST_MEMBER_WORLD_H

#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakenet.h"
#include "state/member.h"

/*
 * Instances of several data centres over fake links; instance d * 100 + n is
 * number n of data centre d.  The first three of a data centre vote on its
 * roles (with two, the first of the next data centre is the third).  Bytes are
 * counted per instance.
 */
struct Members {
	typedef std::string Bytes;

	struct Node {
		struct membership *membership = nullptr;
		uint64_t incarnation = 0;
		bool down = false, frozen = false, left = false;
		std::vector<std::pair<int, Bytes>> inbox;
		std::set<int> ended; /* instances whose end it saw */
		std::map<uint64_t, int> items; /* key -> times reported */
		std::map<int, struct member_summary> summaries;
		std::set<int> silent;
		bool role[MB_ROLES] = {};
		int ends = 0; /* reported, also those taken back */
		uint64_t bytes = 0, messages = 0;
	};

	struct Ctx {
		Members *world;
		int id;
	};

	FakeNet<Bytes> net;
	std::map<int, Node> nodes;
	std::map<int, std::unique_ptr<Ctx>> contexts;
	struct member_options options = {};
	int data_centres, size;
	unsigned most_holders = 0;

	Members(uint64_t seed, int dcs, int n)
	    : net(seed), data_centres(dcs), size(n)
	{
	}

	void start()
	{
		for (int d = 1; d <= data_centres; d++)
			for (int n = 1; n <= size; n++)
				start_node(d * 100 + n);
	}

	~Members()
	{
		for (auto &n : nodes)
			member_free(n.second.membership);
	}

	void start_node(int id)
	{
		Node &node = nodes[id];
		struct member_options o = options;
		int dc = id / 100, next = dc % data_centres + 1;

		member_free(node.membership);
		contexts[id].reset(new Ctx{this, id});
		o.instance = id;
		o.incarnation = ++node.incarnation;
		o.seed = id * 1000 + node.incarnation;
		o.data_centre = dc;
		o.voter_count = 3;
		for (int v = 0; v < 3; v++)
			o.voters[v] = dc * 100 + v + 1;
		if (size == 2)
			o.voters[2] = next * 100 + 1;
		o.ctx = contexts[id].get();
		o.emit = [](void *ctx, const member_action *a) {
			((Ctx *)ctx)->world->acts(((Ctx *)ctx)->id, a);
		};
		node.membership = member_new(&o, net.now_us);
		node.down = node.frozen = node.left = false;
		memset(node.role, 0, sizeof(node.role));
		for (int n = 1; n <= 3 && n <= size; n++)
			member_add_seed(node.membership, dc * 100 + n);
		for (int d = 1; d <= data_centres; d++)
			if (d != dc)
				member_add_data_centre_seed(
				    node.membership, d, d * 100 + 1);
	}

	void acts(int id, const struct member_action *a)
	{
		Node &node = nodes[id];

		switch (a->kind) {
		case MEMBER_SEND:
			send(id, a);
			break;
		case MEMBER_ENDED:
			node.ended.insert(a->record->instance);
			node.ends++;
			break;
		case MEMBER_JOINED:
			node.ended.erase(a->record->instance);
			break;
		case MEMBER_ITEM_RECEIVED:
			node.items[a->item->key]++;
			break;
		case MEMBER_SUMMARY_RECEIVED:
			node.summaries[a->summary->data_centre] = *a->summary;
			break;
		case MEMBER_DATA_CENTRE_SILENT:
			node.silent.insert(a->data_centre);
			break;
		case MEMBER_ROLE_WON:
			node.role[a->role] = true;
			break;
		case MEMBER_ROLE_LOST:
			node.role[a->role] = false;
			break;
		case MEMBER_LEAVE_DONE:
			node.left = true;
			break;
		}
	}

	void send(int id, const struct member_action *a)
	{
		struct buf b;

		buf_init(&b, NULL);
		member_msg_encode(a->msg, &b);
		if ((int)a->to != id) {
			nodes[id].bytes += b.len;
			nodes[id].messages++;
			nodes[a->to].bytes += b.len;
			nodes[a->to].messages++;
		}
		net.send(id, a->to, Bytes((const char *)b.data, b.len));
		buf_free(&b);
	}

	void deliver(int from, int to, const Bytes &bytes)
	{
		struct member_msg msg;
		Node &node = nodes[to];

		if (node.frozen)
			node.inbox.push_back({from, bytes});
		if (node.membership == nullptr || node.down || node.frozen)
			return;
		ASSERT_EQ(0, member_msg_decode(&msg,
				 (const uint8_t *)bytes.data(), bytes.size()));
		member_receive(node.membership, net.now_us, from, &msg);
	}

	/* The woken process runs its timers before it reads its sockets. */
	void wake(int id)
	{
		std::vector<std::pair<int, Bytes>> inbox;

		nodes[id].frozen = false;
		member_tick(nodes[id].membership, net.now_us);
		inbox.swap(nodes[id].inbox);
		for (auto &m : inbox)
			deliver(m.first, id, m.second);
	}

	void kill(int id)
	{
		nodes[id].down = true;
	}

	void step(int ms)
	{
		int64_t end = net.now_us + ms * 1000LL;

		while (net.now_us < end) {
			net.run_until(net.now_us + 50000,
			    [&](int from, int to, const Bytes &bytes) {
				    deliver(from, to, bytes);
			    });
			for (auto &n : nodes)
				if (!n.second.down && !n.second.frozen)
					member_tick(
					    n.second.membership, net.now_us);
			for (int d = 1; d <= data_centres; d++)
				for (int r = 0; r < MB_ROLES; r++)
					most_holders = std::max(most_holders,
					    holders(d, (enum mb_role)r));
		}
	}

	unsigned holders(int dc, enum mb_role role)
	{
		unsigned count = 0;

		for (auto &n : nodes)
			if (n.first / 100 == dc && !n.second.down &&
			    member_role_held(
				n.second.membership, role, net.now_us))
				count++;
		return count;
	}

	int holder(int dc, enum mb_role role)
	{
		for (auto &n : nodes)
			if (n.first / 100 == dc && !n.second.down &&
			    member_role_held(
				n.second.membership, role, net.now_us))
				return n.first;
		return 0;
	}

	/* How many instances believe that others ended. */
	int false_ends(const std::set<int> &really)
	{
		int count = 0;

		for (auto &n : nodes)
			for (int e : n.second.ended)
				if (really.count(e) == 0)
					count++;
		return count;
	}

	int saw_end(int id)
	{
		int count = 0;

		for (auto &n : nodes)
			count += n.second.ended.count(id);
		return count;
	}
};

#endif
