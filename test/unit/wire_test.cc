#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sodium.h>

#include <string>
#include <vector>

#include "base/err.h"
#include "wire/secure.h"

/* Both ends of a handshake, carried by hand. */
class Pair
{
      public:
	Pair(const struct secure_keys &dialer_keys,
	    const struct secure_keys &listener_keys)
	{
		struct secure_peer a = {"a", "kingston", 1};
		struct secure_peer b = {"b", "hilo", 2};

		if (sodium_init() < 0)
			abort();
		dialer = secure_new(alloc_default(), &dialer_keys, &a, 1);
		listener = secure_new(alloc_default(), &listener_keys, &b, 0);
	}

	~Pair()
	{
		secure_free(dialer);
		secure_free(listener);
	}

	int shake()
	{
		std::string hello_a =
		    take([&](struct buf *out) { secure_hello(dialer, out); });
		std::string hello_b =
		    take([&](struct buf *out) { secure_hello(listener, out); });
		int error = 0;
		std::string head_a = take([&](struct buf *out) {
			error = secure_receive_hello(
			    dialer, bytes(hello_b), hello_b.size(), out);
		});
		if (error != 0)
			return error;
		std::string head_b = take([&](struct buf *out) {
			error = secure_receive_hello(
			    listener, bytes(hello_a), hello_a.size(), out);
		});
		if (error != 0)
			return error;
		error =
		    secure_receive_header(dialer, bytes(head_b), head_b.size());
		return error != 0 ? error
				  : secure_receive_header(
					listener, bytes(head_a), head_a.size());
	}

	std::string seal(const std::string &plain)
	{
		return take([&](struct buf *out) {
			secure_seal(dialer, plain.data(), plain.size(), out);
		});
	}

	int open(const std::string &sealed, std::string *plain)
	{
		int error = 0;

		*plain = take([&](struct buf *out) {
			error = secure_open(
			    listener, bytes(sealed), sealed.size(), out);
		});
		return error;
	}

	struct secure *dialer;
	struct secure *listener;

      private:
	static const uint8_t *bytes(const std::string &text)
	{
		return reinterpret_cast<const uint8_t *>(text.data());
	}

	template <typename F> static std::string take(F fill)
	{
		struct buf out;

		buf_init(&out, alloc_default());
		fill(&out);
		std::string text(buf_text(&out), out.len);
		buf_free(&out);
		return text;
	}
};

static struct secure_keys
keys(std::initializer_list<int> fills)
{
	struct secure_keys out = {};

	for (int fill : fills)
		memset(out.keys[out.count++], fill, SECURE_KEY_BYTES);
	return out;
}

TEST(Secure, FramesPassAndNameThePeer)
{
	Pair pair(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(pair.shake(), 0);
	EXPECT_EQ(pair.open(pair.seal("one"), &plain), 0);
	EXPECT_EQ(plain, "one");
	EXPECT_STREQ(secure_peer_of(pair.listener)->instance, "a");
	EXPECT_EQ(secure_peer_of(pair.listener)->incarnation, 1u);
}

TEST(Secure, NoSharedKeyNoLink)
{
	Pair pair(keys({1}), keys({2}));

	EXPECT_EQ(pair.shake(), ERR_AUTH);
}

TEST(Secure, KeysRotateWithoutARestart)
{
	std::string plain;

	for (auto &both :
	    std::vector<std::pair<struct secure_keys, struct secure_keys>>{
		{keys({1}), keys({1, 2})}, {keys({2, 1}), keys({1, 2})},
		{keys({2}), keys({2, 1})}}) {
		Pair pair(both.first, both.second);

		ASSERT_EQ(pair.shake(), 0);
		EXPECT_EQ(pair.open(pair.seal("x"), &plain), 0);
	}
}

TEST(Secure, ReplayedReorderedAndLostFramesAreRefused)
{
	Pair pair(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(pair.shake(), 0);
	std::string first = pair.seal("first");
	std::string second = pair.seal("second");
	std::string third = pair.seal("third");
	ASSERT_EQ(pair.open(first, &plain), 0);
	EXPECT_EQ(pair.open(first, &plain), ERR_AUTH) << "replayed";
	EXPECT_EQ(pair.open(third, &plain), ERR_AUTH) << "second was lost";
	EXPECT_EQ(pair.open(second, &plain), 0) << "nothing was consumed";
}

TEST(Secure, ARecordedConnectionCannotBeReplayed)
{
	Pair recorded(keys({1}), keys({1}));
	Pair fresh(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(recorded.shake(), 0);
	ASSERT_EQ(fresh.shake(), 0);
	EXPECT_EQ(fresh.open(recorded.seal("order"), &plain), ERR_AUTH);
}

RC_GTEST_PROP(Secure, AnAlteredFrameIsRefused, ())
{
	Pair pair(keys({1}), keys({1}));
	const auto text = *rc::gen::arbitrary<std::string>();
	std::string plain;

	RC_ASSERT(pair.shake() == 0);
	std::string sealed = pair.seal(text);
	const auto at = *rc::gen::inRange<size_t>(0, sealed.size());
	sealed[at] ^= 1;
	RC_ASSERT(pair.open(sealed, &plain) == ERR_AUTH);
}

TEST(Secure, KeyFilesAreChecked)
{
	struct secure_keys out;
	std::string key(64, 'a');

	EXPECT_EQ(
	    secure_keys_parse(("# new\n" + key + "\n\n" + key).c_str(), &out),
	    0);
	EXPECT_EQ(out.count, 2);
	EXPECT_EQ(secure_keys_parse("", &out), ERR_SETTING);
	EXPECT_EQ(secure_keys_parse("abc", &out), ERR_SETTING);
	EXPECT_EQ(secure_keys_parse((key + "a").c_str(), &out), ERR_SETTING);
}
