#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

#include "base/buf.h"
#include "base/err.h"
#include "base/rng.h"
#include "celeryford.h"

/*
 * Guards against idle connections that keep the memory of the largest request
 * or answer that they have had.
 */
TEST(Buf, AnEmptyBufferGivesALargeBlockBack)
{
	const std::string small(1000, 'x'), large(1 << 20, 'x');
	struct buf buf;
	size_t size;

	buf_init(&buf, nullptr);
	buf_add(&buf, large.data(), large.size());
	buf_clear(&buf);
	EXPECT_EQ(0u, buf.size);
	buf_add(&buf, large.data(), large.size());
	buf_consume(&buf, large.size() - 1);
	EXPECT_STREQ("x", buf_text(&buf));
	buf_consume(&buf, 1);
	EXPECT_EQ(0u, buf.size);
	EXPECT_STREQ("", buf_text(&buf));
	buf_add(&buf, small.data(), small.size());
	size = buf.size;
	buf_clear(&buf);
	EXPECT_EQ(size, buf.size) << "it is kept for the next use";
	buf_free(&buf);
}

/*
 * Guards against work that grows with the square of a long buffer whose reader
 * takes a little at a time: consuming moves no bytes, and what was consumed is
 * used again before the buffer grows.
 */
TEST(Buf, ConsumingALittleMovesNothing)
{
	struct buf buf;
	std::string text(100000, 'x');
	size_t size;

	buf_init(&buf, nullptr);
	buf_add(&buf, text.data(), text.size());
	size = buf.size;
	for (int i = 0; i < 50000; i++) {
		const uint8_t *next = buf.data + 1;

		buf_consume(&buf, 1);
		ASSERT_EQ(next, buf.data);
	}
	EXPECT_EQ(text.substr(50000), buf_text(&buf));
	buf_add(&buf, text.data(), 70000);
	EXPECT_EQ(120000u, buf.len);
	EXPECT_EQ(size, buf.size) << "it has grown, or lost room";
	for (int i = 0; i < 1000; i++) {
		buf_consume(&buf, 1000);
		buf_add(&buf, text.data(), 1000);
	}
	EXPECT_EQ(120000u, buf.len);
	EXPECT_EQ(std::string(120000, 'x'), buf_text(&buf));
	size = buf.size + buf.consumed;
	for (int i = 0; i < 100000; i++) {
		buf_consume(&buf, 1);
		buf_add(&buf, "x", 1);
	}
	EXPECT_LE(buf.size + buf.consumed, 2 * size);
	buf_clear(&buf);
	buf_consume(&buf, 0);
	EXPECT_STREQ("", buf_text(&buf));
	buf_free(&buf);
}

TEST(Err, EveryKindHasItsOwnRow)
{
	std::set<std::string> names;

	for (int e = -1; e > ERR_END; e--) {
		const struct err_answer *answer = err_answer(e);

		ASSERT_NE(answer->name, nullptr) << e;
		EXPECT_TRUE(names.insert(answer->name).second) << answer->name;
		EXPECT_GE(answer->http_status, 400);
		EXPECT_LT(answer->http_status, 600);
	}
	EXPECT_EQ(err_answer(ERR_END), err_answer(ERR_INTERNAL));
	EXPECT_EQ(err_answer(7), err_answer(ERR_INTERNAL));
}

RC_GTEST_PROP(Buf, AddThenConsumeKeepsTheRest, ())
{
	const auto first = *rc::gen::arbitrary<std::string>();
	const auto second = *rc::gen::arbitrary<std::string>();
	struct buf buf;

	buf_init(&buf, nullptr);
	buf_add(&buf, first.data(), first.size());
	buf_add(&buf, second.data(), second.size());
	buf_consume(&buf, first.size());
	RC_ASSERT(std::string(buf_text(&buf), buf.len) == second);
	buf_free(&buf);
}

TEST(Rng, OneSeedOneSequence)
{
	struct rng a, b;

	rng_init(&a, 7);
	rng_init(&b, 7);
	for (int i = 0; i < 1000; i++) {
		uint32_t x = rng_below(&a, 10);

		EXPECT_LT(x, 10u);
		EXPECT_EQ(x, rng_below(&b, 10));
	}
}
