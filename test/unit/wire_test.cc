#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sodium.h>

#include <string>
#include <vector>

#include "base/err.h"
#include "wire/secure.h"

/* Both ends of a connection; passes frames between them without I/O. */
class SessionPair
{
      public:
	SessionPair(const struct secure_keys &dialer_keys,
	    const struct secure_keys &listener_keys)
	{
		struct secure_peer a = {"a", "kingston", 1};
		struct secure_peer b = {"b", "hilo", 2};

		if (sodium_init() < 0)
			abort();
		dialer = secure_new(alloc_default(), &dialer_keys, &a, 1);
		listener = secure_new(alloc_default(), &listener_keys, &b, 0);
	}

	~SessionPair()
	{
		secure_free(dialer);
		secure_free(listener);
	}

	int handshake()
	{
		std::string hello_a = collect(
		    [&](struct buf *out) { secure_write_hello(dialer, out); });
		std::string hello_b = collect([&](struct buf *out) {
			secure_write_hello(listener, out);
		});
		int error = 0;
		std::string header_a = collect([&](struct buf *out) {
			error = secure_receive_hello(
			    dialer, bytes(hello_b), hello_b.size(), out);
		});
		if (error != 0)
			return error;
		std::string header_b = collect([&](struct buf *out) {
			error = secure_receive_hello(
			    listener, bytes(hello_a), hello_a.size(), out);
		});
		if (error != 0)
			return error;
		error = secure_receive_header(
		    dialer, bytes(header_b), header_b.size());
		return error != 0 ? error
				  : secure_receive_header(listener,
					bytes(header_a), header_a.size());
	}

	std::string encrypt(const std::string &plain)
	{
		return collect([&](struct buf *out) {
			secure_encrypt(dialer, plain.data(), plain.size(), out);
		});
	}

	int decrypt(const std::string &encrypted, std::string *plain)
	{
		int error = 0;

		*plain = collect([&](struct buf *out) {
			error = secure_decrypt(
			    listener, bytes(encrypted), encrypted.size(), out);
		});
		return error;
	}

	struct secure_session *dialer;
	struct secure_session *listener;

      private:
	static const uint8_t *bytes(const std::string &text)
	{
		return reinterpret_cast<const uint8_t *>(text.data());
	}

	template <typename F> static std::string collect(F append)
	{
		struct buf out;

		buf_init(&out, alloc_default());
		append(&out);
		std::string text(buf_text(&out), out.len);
		buf_free(&out);
		return text;
	}
};

/* Returns cluster keys, each made of one repeated byte. */
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
	SessionPair pair(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(pair.handshake(), 0);
	EXPECT_EQ(pair.decrypt(pair.encrypt("one"), &plain), 0);
	EXPECT_EQ(plain, "one");
	EXPECT_STREQ(secure_remote_peer(pair.listener)->instance, "a");
	EXPECT_EQ(secure_remote_peer(pair.listener)->incarnation, 1u);
}

TEST(Secure, NoSharedKeyNoLink)
{
	SessionPair pair(keys({1}), keys({2}));

	EXPECT_EQ(pair.handshake(), ERR_AUTH);
}

TEST(Secure, KeysRotateWithoutARestart)
{
	std::string plain;

	for (auto &key_lists :
	    std::vector<std::pair<struct secure_keys, struct secure_keys>>{
		{keys({1}), keys({1, 2})}, {keys({2, 1}), keys({1, 2})},
		{keys({2}), keys({2, 1})}}) {
		SessionPair pair(key_lists.first, key_lists.second);

		ASSERT_EQ(pair.handshake(), 0);
		EXPECT_EQ(pair.decrypt(pair.encrypt("x"), &plain), 0);
	}
}

TEST(Secure, ReplayedReorderedAndLostFramesAreRefused)
{
	SessionPair pair(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(pair.handshake(), 0);
	std::string first = pair.encrypt("first");
	std::string second = pair.encrypt("second");
	std::string third = pair.encrypt("third");
	ASSERT_EQ(pair.decrypt(first, &plain), 0);
	EXPECT_EQ(pair.decrypt(first, &plain), ERR_AUTH) << "replayed";
	EXPECT_EQ(pair.decrypt(third, &plain), ERR_AUTH) << "second was lost";
	EXPECT_EQ(pair.decrypt(second, &plain), 0) << "nothing was consumed";
}

TEST(Secure, ARecordedConnectionCannotBeReplayed)
{
	SessionPair recorded(keys({1}), keys({1}));
	SessionPair fresh(keys({1}), keys({1}));
	std::string plain;

	ASSERT_EQ(recorded.handshake(), 0);
	ASSERT_EQ(fresh.handshake(), 0);
	EXPECT_EQ(fresh.decrypt(recorded.encrypt("order"), &plain), ERR_AUTH);
}

RC_GTEST_PROP(Secure, AnAlteredFrameIsRefused, ())
{
	SessionPair pair(keys({1}), keys({1}));
	const auto text = *rc::gen::arbitrary<std::string>();
	std::string plain;

	RC_ASSERT(pair.handshake() == 0);
	std::string encrypted = pair.encrypt(text);
	const auto at = *rc::gen::inRange<size_t>(0, encrypted.size());
	encrypted[at] ^= 1;
	RC_ASSERT(pair.decrypt(encrypted, &plain) == ERR_AUTH);
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
