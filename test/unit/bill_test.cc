#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakenet.h"
#include "matrix.h"
#include "state/bill.h"

/*
 * Replicas 1..3 and entry instances 11, 12 of one data centre over fake links.
 * The log that agrees on seals is one list that replicas read in order.
 */
struct Bills {
	typedef std::string Bytes;

	struct Replica {
		struct bl_store *store = nullptr;
		std::vector<Bytes> disk, tail;
		std::vector<Bytes> archive; /* synced with the records */
		std::map<uint64_t, std::vector<Bytes>> lines; /* by record */
		uint64_t sequence = 0;
		size_t log_read = 0;
		int lives = 0;
		bool down = false, sync_fails = false, sync_hangs = false;
	};

	struct Entry {
		struct bl_client *client = nullptr;
		uint64_t owner = 0;
		bool down = false;
		std::map<uint64_t, int> durable; /* sequence -> state */
		std::vector<std::pair<int, Bytes>> inbox;
		bool frozen = false;
	};

	struct Ctx {
		Bills *bills;
		int id;
	};

	FakeNet<Bytes> net;
	std::map<int, Replica> replicas;
	std::map<int, Entry> entries;
	std::map<int, std::unique_ptr<Ctx>> contexts;
	std::vector<struct bl_seal> log;
	struct bl_store_options store_options = {};
	struct bl_client_options client_options = {};
	std::map<std::pair<uint64_t, uint64_t>, uint64_t> promised; /* cost */

	explicit Bills(uint64_t seed) : net(seed)
	{
	}

	void start()
	{
		for (int id = 1; id <= 3; id++)
			start_replica(id);
		for (int id = 11; id <= 12; id++)
			start_entry(id);
	}

	~Bills()
	{
		for (auto &r : replicas)
			bl_store_free(r.second.store);
		for (auto &e : entries)
			bl_client_free(e.second.client);
	}

	void *context(int id)
	{
		contexts[id].reset(new Ctx{this, id});
		return contexts[id].get();
	}

	void start_replica(int id)
	{
		struct bl_store_options options = store_options;
		Replica &r = replicas[id];
		uint32_t peers[2];
		int n = 0;

		for (int p = 1; p <= 3; p++)
			if (p != id)
				peers[n++] = p;
		bl_store_free(r.store);
		options.instance = id;
		options.life = id * 1000 + ++r.lives;
		options.ctx = context(id);
		options.emit = [](void *ctx, const bl_store_action *a) {
			((Ctx *)ctx)->bills->store_acts(((Ctx *)ctx)->id, a);
		};
		r.store = bl_store_new(&options);
		r.tail.clear();
		r.lines.clear();
		r.sequence = 0;
		r.down = r.sync_fails = r.sync_hangs = false;
		for (auto &b : r.disk)
			EXPECT_EQ(0, bl_store_restore(r.store,
					 (const uint8_t *)b.data(), b.size()));
		bl_store_peers(r.store, peers, 2);
		r.log_read = 0; /* the log is read again; seals know theirs */
	}

	void start_entry(int id)
	{
		struct bl_client_options options = client_options;
		uint32_t set[3] = {1, 2, 3};
		uint32_t peer = 11 + 12 - id;
		Entry &e = entries[id];

		bl_client_free(e.client);
		e.owner = id * 1000 + e.owner % 1000 + 1;
		e.down = e.frozen = false;
		e.durable.clear();
		options.instance = id;
		options.owner = e.owner;
		options.ctx = context(id);
		options.emit = [](void *ctx, const bl_client_action *a) {
			((Ctx *)ctx)->bills->entry_acts(((Ctx *)ctx)->id, a);
		};
		e.client = bl_client_new(&options);
		bl_client_replicas(e.client, set, 3);
		bl_client_peers(e.client, &peer, 1);
	}

	static Bytes encode(const struct bl_msg *msg)
	{
		struct buf b;

		buf_init(&b, NULL);
		bl_msg_encode(msg, &b);
		Bytes bytes((const char *)b.data, b.len);
		buf_free(&b);
		return bytes;
	}

	static Bytes line_of(const struct bl_store_action *a)
	{
		return std::to_string(a->position) + ":" +
		       std::to_string(a->bill->id.owner) + "/" +
		       std::to_string(a->bill->id.sequence) + "=" +
		       std::to_string(bl_bill_cost_nano(a->bill));
	}

	void store_acts(int id, const struct bl_store_action *a)
	{
		Replica &r = replicas[id];

		if (a->kind == BL_STORE_SEND) {
			net.send(id, a->to, encode(a->msg));
		} else if (a->kind == BL_STORE_PERSIST) {
			r.tail.push_back(
			    Bytes((const char *)a->record, a->record_len));
			r.sequence = a->sequence;
		} else {
			/* Becomes durable with the next record. */
			r.lines[r.sequence + 1].push_back(line_of(a));
		}
	}

	void entry_acts(int id, const struct bl_client_action *a)
	{
		if (a->kind == BL_CLIENT_SEND)
			net.send(id, a->to, encode(a->msg));
		else
			entries[id].durable[a->id.sequence] = a->state;
	}

	void sync(Replica &r)
	{
		if (r.down || r.sync_hangs || r.tail.empty())
			return;
		if (r.sync_fails) {
			bl_store_persist_failed(r.store);
			return;
		}
		r.disk.insert(r.disk.end(), r.tail.begin(), r.tail.end());
		r.tail.clear();
		while (
		    !r.lines.empty() && r.lines.begin()->first <= r.sequence) {
			auto &lines = r.lines.begin()->second;

			r.archive.insert(
			    r.archive.end(), lines.begin(), lines.end());
			r.lines.erase(r.lines.begin());
		}
		bl_store_persisted(r.store, r.sequence);
	}

	void kill_replica(int id)
	{
		replicas[id].down = true;
		net.drop_to(id);
	}

	/* The archive before the adopted tail is read at another replica. */
	void lose_disk(int id)
	{
		Replica &r = replicas[id], &other = replicas[id % 3 + 1];
		struct buf tail;

		r.disk.clear();
		start_replica(id);
		buf_init(&tail, NULL);
		bl_store_tail(other.store, &tail);
		EXPECT_EQ(0, bl_store_adopt(r.store, tail.data, tail.len));
		buf_free(&tail);
		r.archive = other.archive;
		r.archive.resize(bl_store_exported(r.store));
	}

	void seal(int id)
	{
		struct bl_seal s;

		if (!replicas[id].down &&
		    bl_store_propose(replicas[id].store, &s))
			log.push_back(s);
	}

	void read_log(Replica &r)
	{
		while (!r.down && r.log_read < log.size())
			bl_store_sealed(r.store, &log[r.log_read++]);
	}

	void deliver(int from, int to, const Bytes &bytes)
	{
		struct bl_msg msg;

		ASSERT_EQ(0, bl_msg_decode(&msg, (const uint8_t *)bytes.data(),
				 bytes.size()));
		if (to < 11) {
			if (!replicas[to].down)
				bl_store_message(
				    replicas[to].store, net.now_us, from, &msg);
		} else if (entries[to].frozen) {
			entries[to].inbox.push_back({from, bytes});
		} else if (!entries[to].down) {
			bl_client_message(
			    entries[to].client, net.now_us, from, &msg);
		}
	}

	void wake(int id)
	{
		std::vector<std::pair<int, Bytes>> inbox;

		entries[id].frozen = false;
		inbox.swap(entries[id].inbox);
		for (auto &m : inbox)
			deliver(m.first, id, m.second);
	}

	void step(int ms)
	{
		int64_t end = net.now_us + ms * 1000LL;

		while (net.now_us < end) {
			net.run_until(net.now_us + 1000,
			    [&](int from, int to, const Bytes &bytes) {
				    deliver(from, to, bytes);
			    });
			for (auto &r : replicas) {
				read_log(r.second);
				sync(r.second);
				if (!r.second.down)
					bl_store_tick(
					    r.second.store, net.now_us);
			}
			for (auto &e : entries)
				if (!e.second.down && !e.second.frozen)
					bl_client_tick(
					    e.second.client, net.now_us);
		}
	}

	int64_t open(int id)
	{
		return bl_client_intent(entries[id].client, net.now_us,
		    1800000000 + net.now_us / 1000000, 1, 0xffff, 77);
	}

	/* Two attempts, of which one is reported twice. */
	void settle(int id, uint64_t sequence)
	{
		struct bl_item a = {1, 3, 10, 20, 100 + sequence};
		struct bl_item b = {2, 4, 10, 50, 1000};

		bl_client_item(entries[id].client, sequence, &b);
		bl_client_item(entries[id].client, sequence, &a);
		bl_client_item(entries[id].client, sequence, &b);
		bl_client_settle(entries[id].client, net.now_us, sequence);
	}

	bool durable(int id, uint64_t sequence, int state)
	{
		return entries[id].durable.count(sequence) != 0 &&
		       entries[id].durable[sequence] >= state;
	}

	void note(int id, uint64_t sequence)
	{
		if (durable(id, sequence, BL_SETTLED))
			promised[{entries[id].owner, sequence}] =
			    1100 + sequence;
	}

	/* Everyone's export is one list, and holds each promised bill once. */
	std::string verdict()
	{
		std::map<std::string, int> seen;
		std::vector<Bytes> *longest = &replicas[1].archive;

		for (auto &r : replicas)
			if (r.second.archive.size() > longest->size())
				longest = &r.second.archive;
		for (auto &r : replicas)
			for (size_t i = 0; i < r.second.archive.size(); i++)
				if (r.second.archive[i] != (*longest)[i])
					return "exports differ: " +
					       r.second.archive[i] + " and " +
					       (*longest)[i];
		for (auto &line : *longest)
			seen[line.substr(line.find(':') + 1)]++;
		for (auto &p : promised) {
			std::string want = std::to_string(p.first.first) + "/" +
					   std::to_string(p.first.second) +
					   "=" + std::to_string(p.second);

			if (seen[want] != 1)
				return "bill " + want + " is exported " +
				       std::to_string(seen[want]) + " times";
		}
		return "";
	}

	void finish()
	{
		net.mend_all();
		net.lose_percent = 0;
		for (auto &r : replicas)
			if (r.second.down || r.second.sync_fails ||
			    r.second.sync_hangs)
				start_replica(r.first);
		for (auto &e : entries)
			if (e.second.frozen)
				wake(e.first);
		for (int i = 0; i < 8; i++) {
			step(1200);
			seal(1 + i % 3);
		}
		step(1000);
	}
};

TEST(Bill, SettlesRetriesIntoOneBill)
{
	Bills b(1);

	b.start();
	int64_t s = b.open(11);
	EXPECT_FALSE(b.durable(11, s, BL_INTENT));
	b.step(10);
	EXPECT_TRUE(b.durable(11, s, BL_INTENT));
	b.settle(11, s);
	b.step(10);
	EXPECT_TRUE(b.durable(11, s, BL_SETTLED));
	EXPECT_EQ(0u, bl_client_open(b.entries[11].client));
	b.note(11, s);
	b.finish();
	EXPECT_EQ("", b.verdict());
	EXPECT_EQ(1u, b.replicas[1].archive.size());
	EXPECT_EQ("1:11001/1=1101", b.replicas[1].archive[0]);
	EXPECT_EQ(0u, bl_store_count(b.replicas[1].store));
}

TEST(Bill, MergeHasNoOrder)
{
	struct bl_bill a = {}, c = {}, x, y;

	a.id = c.id = {5, 6};
	a.state = BL_SETTLED;
	c.state = BL_INTENT;
	a.item_count = c.item_count = 2;
	a.items[0] = {1, 1, 1, 1, 10};
	a.items[1] = {4, 1, 1, 1, 20};
	c.items[0] = {2, 1, 1, 1, 40};
	c.items[1] = {4, 1, 1, 1, 20};
	x = a;
	y = c;
	EXPECT_TRUE(bl_bill_merge(&x, &c));
	EXPECT_TRUE(bl_bill_merge(&y, &a));
	EXPECT_EQ(70u, bl_bill_cost_nano(&x));
	EXPECT_EQ(0, memcmp(x.items, y.items, sizeof(x.items)));
	EXPECT_EQ(x.state, y.state);
	EXPECT_FALSE(bl_bill_merge(&x, &c));
}

TEST(Bill, AuditListsAndOperatorsClose)
{
	struct bl_bill list[2], closed;
	struct bl_id none = {9, 9};
	Bills b(1);

	b.start();
	b.open(11);
	b.step(1000);
	int64_t late = b.open(11);
	b.step(10);
	b.settle(11, late);
	b.step(2000);
	b.entries[11].down = true;
	ASSERT_EQ(
	    1u, bl_store_unsettled(b.replicas[1].store, INT64_MAX, list, 2));
	EXPECT_EQ(1u, list[0].id.sequence);
	EXPECT_EQ(0u,
	    bl_store_unsettled(b.replicas[1].store, list[0].born_s, list, 2));
	b.finish();
	EXPECT_EQ(0u, b.replicas[1].archive.size()) << "no gap is exported";
	EXPECT_EQ(
	    ERR_NOT_FOUND, bl_store_close(b.replicas[1].store, &none, &closed));
	ASSERT_EQ(0, bl_store_close(b.replicas[1].store, &list[0].id, &closed));
	for (auto &r : b.replicas)
		bl_store_closed(r.second.store, &closed);
	b.finish();
	EXPECT_EQ(2u, b.replicas[2].archive.size());
	EXPECT_EQ("", b.verdict());
}

TEST(Bill, CutOffUsesAPeerAndMergesLater)
{
	Bills b(1);

	b.start();
	for (int r = 1; r <= 3; r++)
		for (int e = 11; e <= 12; e++) {
			b.net.cut(r, e);
			b.net.cut(e, r);
		}
	int64_t s = b.open(11);
	b.step(500);
	EXPECT_FALSE(b.durable(11, s, BL_INTENT));
	b.step(1500);
	EXPECT_TRUE(b.durable(11, s, BL_INTENT));
	b.settle(11, s);
	b.step(2000);
	ASSERT_TRUE(b.durable(11, s, BL_SETTLED));
	b.note(11, s);
	b.entries[11].down = true; /* its copy is the only one left but 12's */
	b.finish();
	EXPECT_EQ("", b.verdict());
	EXPECT_EQ(0u, bl_client_open(b.entries[12].client));
}

TEST(Bill, ImageRestores)
{
	struct bl_store_options options = {};
	struct buf image, again;
	Bills b(1);

	b.start();
	for (int i = 0; i < 40; i++) {
		int64_t s = b.open(11);

		if (i % 5 != 4)
			b.settle(11, s);
		b.step(5);
	}
	b.step(2000);
	b.seal(1);
	b.step(100);
	buf_init(&image, NULL);
	buf_init(&again, NULL);
	bl_store_image(b.replicas[1].store, &image);
	options.emit = [](void *, const bl_store_action *) {};
	struct bl_store *copy = bl_store_new(&options);
	ASSERT_EQ(0, bl_store_restore_image(copy, image.data, image.len));
	bl_store_image(copy, &again);
	ASSERT_EQ(image.len, again.len);
	EXPECT_EQ(0, memcmp(image.data, again.data, image.len));
	EXPECT_EQ(4u, bl_store_exported(copy));
	EXPECT_EQ(36u, bl_store_count(copy));
	EXPECT_EQ(ERR_MALFORMED,
	    bl_store_restore_image(copy, image.data, image.len - 1));
	bl_store_free(copy);
	buf_free(&image);
	buf_free(&again);
}

/* Random schedules of requests, losses, cuts and seals. */
static std::string
schedule(uint64_t seed, const std::function<void(Bills &)> &set)
{
	std::mt19937_64 random(seed);
	std::vector<std::pair<int, int64_t>> open;
	Bills b(seed);

	set(b);
	b.net.lose_percent = 3;
	b.net.duplicate_percent = 10;
	b.net.delay_max_us = 20000;
	b.start();
	for (int i = 0; i < 120; i++) {
		int id = 11 + random() % 2, r = 1 + random() % 3;

		switch (random() % 12) {
		case 0:
			b.net.cut(r, id);
			break;
		case 1:
			b.net.mend_all();
			break;
		case 2:
			b.kill_replica(r);
			b.start_replica(r);
			break;
		case 3:
			b.step(2500);
			b.kill_replica(r);
			b.lose_disk(r);
			b.step(2500);
			break;
		case 4:
		case 5:
			b.seal(r);
			break;
		case 6:
		case 7:
		case 8:
			open.push_back({id, b.open(id)});
			break;
		default:
			if (open.empty())
				break;
			b.settle(open.back().first, open.back().second);
			open.pop_back();
			break;
		}
		b.step(1 + random() % 40);
		for (int e = 11; e <= 12; e++)
			for (auto &d : b.entries[e].durable)
				b.note(e, d.first);
	}
	for (auto &o : open)
		b.settle(o.first, o.second);
	b.finish();
	return b.verdict();
}

RC_GTEST_PROP(BillSchedules, EachBillOnceAndExportStable, ())
{
	std::string seen =
	    schedule(*rc::gen::arbitrary<uint64_t>(), [](Bills &) {});

	RC_ASSERT(seen == "");
}

TEST(BillSchedules, EachMechanismOff)
{
	struct {
		const char *name;
		std::function<void(Bills &)> set;
	} offs[] = {
	    {"syncs",
		[](Bills &b) {
			b.store_options.unsafe_skip_sync = true;
			b.client_options.copies = 1;
		}},
	    {"merging",
		[](Bills &b) { b.store_options.unsafe_skip_merge = true; }},
	    {"sealing without gaps",
		[](Bills &b) { b.store_options.unsafe_seal_gaps = true; }},
	};

	for (auto &off : offs) {
		int failed = 0;

		for (uint64_t seed = 1; seed <= 20; seed++)
			failed += schedule(seed, off.set) != "";
		printf(
		    "without %s: %d of 20 schedules fail\n", off.name, failed);
		EXPECT_GT(failed, 0) << off.name;
	}
}
