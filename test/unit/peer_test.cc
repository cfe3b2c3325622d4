#include <gtest/gtest.h>

#include "apr.h"

#include <sodium.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "base/err.h"
#include "base/loop.h"
#include "state/rlog.h"
#include "wire/peer.h"

/* Two hubs on loopback; the second one records what it gets from the first. */
class Peer : public testing::Test
{
      protected:
	struct loop *loop = nullptr;
	struct peer_hub *sender = nullptr;
	struct peer_hub *receiver = nullptr;
	std::vector<std::pair<int, std::string>> got;
	int ticks = 0;
	std::function<bool()> done;

	void SetUp() override
	{
		ASSERT_GE(sodium_init(), 0);
		loop = loop_new(alloc_default());
		receiver = hub("127.0.0.1", "receiver", 1);
		sender = hub("127.0.0.2", "sender", 2);
		ASSERT_NE(nullptr, receiver);
		ASSERT_NE(nullptr, sender);
		ASSERT_EQ(
		    0, peer_hub_add(sender, "receiver", "127.0.0.1", port));
	}

	void TearDown() override
	{
		peer_hub_free(sender);
		peer_hub_free(receiver);
		loop_free(loop);
	}

	bool until(const std::function<bool()> &condition)
	{
		done = condition;
		ticks = 1000;
		loop_after(loop, 0, on_tick, this);
		loop_run(loop);
		loop_resume(loop);
		return done();
	}

      private:
	static constexpr uint16_t port = 28871;

	struct peer_hub *hub(const char *host, const char *name, uint64_t life)
	{
		static const struct peer_handler handler = {on_message};
		struct peer_options options = {};

		options.alloc = alloc_default();
		options.loop = loop;
		options.host = host;
		options.port = port;
		options.keys.count = 1;
		snprintf(options.self.instance, sizeof(options.self.instance),
		    "%s", name);
		options.self.incarnation = life;
		options.handler = &handler;
		options.ctx = this;
		return peer_hub_new(&options);
	}

	static void on_message(void *ctx, const struct secure_peer *,
	    enum peer_channel channel, const uint8_t *data, uint32_t len)
	{
		((Peer *)ctx)
		    ->got.emplace_back(
			channel, std::string((const char *)data, len));
	}

	static void on_tick(void *ctx)
	{
		auto *t = (Peer *)ctx;

		if (t->done() || --t->ticks == 0)
			loop_stop(t->loop);
		else
			loop_after(t->loop, 5000, on_tick, ctx);
	}
};

/*
 * Guards against a message that a queue or a log accepts and a link drops: the
 * largest entry of the log arrives, in its order among others.
 */
TEST_F(Peer, MessagesOfAnySizeArriveInOrder)
{
	const size_t sizes[] = {10, PEER_FRAME_MAX_BYTES - 64,
	    PEER_FRAME_MAX_BYTES - 63, 3, RLOG_ENTRY_MAX_BYTES + 200, 7,
	    PEER_MESSAGE_MAX_BYTES, 1};
	size_t count = 0;

	for (size_t size : sizes) {
		std::string message(size, (char)('a' + count));

		message[size / 2] = '!';
		ASSERT_EQ(0, peer_send(sender, "receiver", PEER_RLOG,
				 message.data(), (uint32_t)size));
		count++;
		ASSERT_TRUE(until([&] { return got.size() == count; })) << size;
		EXPECT_EQ(PEER_RLOG, got.back().first);
		EXPECT_TRUE(message == got.back().second) << size;
	}
	std::string large(PEER_MESSAGE_MAX_BYTES + 1, 'x');
	EXPECT_EQ(ERR_TOO_LARGE, peer_send(sender, "receiver", PEER_RLOG,
				     large.data(), (uint32_t)large.size()));
}

/* Guards against answers to a ping that reach the handler as empty messages. */
TEST_F(Peer, TheAnswerToAPingIsNoMessage)
{
	for (size_t count = 1; count <= 2; count++) {
		ASSERT_EQ(0, peer_send(sender, "receiver", PEER_RLOG, "x", 1));
		ASSERT_TRUE(until([&] { return got.size() == count; }));
	}
	/* Nothing else answers the sender on an open link. */
	ASSERT_TRUE(
	    until([&] { return peer_stats(sender)->received_frames > 0; }));
	EXPECT_EQ(2u, got.size());
}
