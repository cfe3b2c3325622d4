#ifndef CF_TEST_RLOG_FOUND_H
#define CF_TEST_RLOG_FOUND_H

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fakenet.h"
#include "state/rlog.h"

/*
 * Replicas that are found by number: three founders form the log, others are
 * introduced and join, and nobody forms a second one.
 */
class Found
{
      public:
	struct Node {
		struct rlog *rlog = nullptr;
		struct rlog_actions actions = {};
		uint64_t persisted = 0;
		std::vector<std::string> applied;
		bool up = false;
	};

	std::map<uint64_t, Node> nodes;
	std::vector<std::pair<uint64_t, std::string>> wire;
	int64_t now_us = 0;
	uint64_t seed = 1;

	~Found()
	{
		for (auto &[n, node] : nodes)
			stop(n);
	}

	void start(uint64_t number, const std::vector<uint64_t> &founders,
	    const std::vector<uint64_t> &known)
	{
		struct rlog_options options = {};
		Node &node = nodes[number];

		options.seed = ++seed;
		options.fresh_id = ++seed * 1000003;
		options.instance = number;
		options.founders = founders.data();
		options.founder_count = founders.size();
		node = Node();
		node.rlog = rlog_new(&options);
		node.up = true;
		rlog_start(node.rlog, now_us);
		rlog_set_hello_targets(node.rlog, known.data(), known.size());
	}

	void stop(uint64_t number)
	{
		Node &node = nodes[number];

		if (node.rlog == nullptr)
			return;
		rlog_actions_free(node.rlog, &node.actions);
		rlog_free(node.rlog);
		node.rlog = nullptr;
		node.up = false;
	}

	void step(uint64_t number, const struct rlog_event &event)
	{
		Node &node = nodes[number];

		if (!node.up)
			return;
		rlog_step(node.rlog, now_us, &event, &node.actions);
		for (size_t i = 0; i < node.actions.count; i++) {
			const struct rlog_action &a = node.actions.items[i];
			struct buf bytes;

			if (a.kind == RLOG_ACT_PERSIST)
				node.persisted = a.u.persist.number;
			else if (a.kind == RLOG_ACT_APPLY)
				node.applied.push_back(std::string(
				    (const char *)a.u.apply.entry.data,
				    a.u.apply.entry.len));
			if (a.kind != RLOG_ACT_SEND)
				continue;
			buf_init(&bytes, alloc_default());
			if (rlog_msg_encode(&a.u.send.message, &bytes) == 0)
				wire.push_back({a.u.send.instance,
				    std::string(
					(const char *)bytes.data, bytes.len)});
			buf_free(&bytes);
		}
	}

	void run(int64_t for_us)
	{
		for (int64_t end = now_us + for_us; now_us < end;
		     now_us += 10000) {
			auto batch = std::move(wire);

			wire.clear();
			for (auto &[to, bytes] : batch) {
				struct rlog_event event = {};
				struct rlog_msg msg;

				if (nodes.count(to) == 0 || !nodes[to].up ||
				    rlog_msg_decode(
					bytes.data(), bytes.size(), &msg) != 0)
					continue;
				event.kind = RLOG_EV_MESSAGE;
				event.u.message = &msg;
				step(to, event);
				rlog_msg_release(&msg);
			}
			for (auto &[n, node] : nodes) {
				struct rlog_event event = {};

				event.kind = RLOG_EV_PERSISTED;
				event.u.persisted.number = node.persisted;
				step(n, event);
				event = {};
				step(n, event);
			}
		}
	}

	uint64_t leader()
	{
		uint64_t found = 0;

		for (auto &[n, node] : nodes)
			if (node.up && rlog_is_leader(node.rlog) &&
			    rlog_lease_until_us(node.rlog) > now_us) {
				EXPECT_EQ(0u, found) << "two leaders";
				found = n;
			}
		return found;
	}

	std::string voters(uint64_t number)
	{
		struct rlog_status status;
		std::string text;

		rlog_status(nodes[number].rlog, &status);
		for (size_t i = 0; i < status.member_count; i++)
			text += std::to_string(status.members[i].instance) +
				(status.members[i].voter ? " " : "? ");
		return text;
	}

	void propose(const std::string &text)
	{
		struct rlog_event event = {};

		event.kind = RLOG_EV_PROPOSE;
		event.u.propose.token = 1;
		event.u.propose.data = text.data();
		event.u.propose.len = text.size();
		step(leader(), event);
	}

	/* Three founders form the log and accept a first change. */
	void form(
	    const std::vector<uint64_t> &founders, const std::string &first)
	{
		for (uint64_t n : founders)
			start(n, founders, founders);
		run(4000000);
		propose(first);
		run(500000);
	}
};

#endif
