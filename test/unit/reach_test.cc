#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "base/buf.h"
#include "base/err.h"
#include "gateway/forward.h"
#include "gateway/forwarders.h"
#include "route/reach.h"

/*
 * Whether an instance has a path to the servers of a service, and where it may
 * forward requests to if it has none.
 */
static const int64_t MS = 1000;

/* Lets servers 1 to count fail; returns whether the path counts as lost. */
static bool
fail_all(struct reach *reach, uint64_t count, uint32_t known, int64_t now_us)
{
	bool lost = false;

	for (uint64_t life = 1; life <= count; life++)
		lost |= reach_record_failure(reach, life, known, now_us);
	return lost;
}

TEST(ReachTest, TheLossOfSomeServersIsNotTheLossOfThePath)
{
	struct reach reach = {};

	EXPECT_FALSE(fail_all(&reach, 7, 20, 1000 * MS));
	EXPECT_FALSE(reach_record_failure(&reach, 7, 20, 1000 * MS));
	EXPECT_FALSE(reach_record_success(&reach, 1001 * MS));
	EXPECT_FALSE(fail_all(&reach, 7, 20, 1002 * MS));
	EXPECT_FALSE(reach.lost);
}

TEST(ReachTest, AllOfFewServersOrEightOfManyMustFail)
{
	struct reach few = {}, many = {};

	EXPECT_FALSE(fail_all(&few, 3, 4, 1000 * MS));
	EXPECT_TRUE(reach_record_failure(&few, 4, 4, 1100 * MS));
	EXPECT_TRUE(fail_all(&many, 8, 90, 1000 * MS));
	EXPECT_EQ(1000 * MS, many.lost_us);
	/* It is lost once, and regained with the first connection. */
	EXPECT_FALSE(reach_record_failure(&many, 9, 90, 1100 * MS));
	EXPECT_TRUE(reach_record_success(&many, 1200 * MS));
	EXPECT_FALSE(many.lost);
}

TEST(ReachTest, OldFailuresDontCount)
{
	struct reach reach = {};

	EXPECT_FALSE(fail_all(&reach, 7, 20, 1000 * MS));
	EXPECT_FALSE(reach_record_failure(
	    &reach, 8, 20, 1001 * MS + REACH_FAILURE_TTL_US));
}

TEST(ReachTest, BytesOnOpenConnectionsDontShowThatNewOnesCanBeMade)
{
	struct reach reach = {};

	(void)fail_all(&reach, 7, 20, 1000 * MS);
	reach.heard_us = 1001 * MS;
	EXPECT_TRUE(reach_record_failure(&reach, 8, 20, 1002 * MS));
}

TEST(ReachTest, SilenceIsCheckedByOneProbeAndItsFailureByEight)
{
	struct reach reach = {};
	int64_t now_us = 10000 * MS;

	reach_record_success(&reach, now_us);
	EXPECT_EQ(0, reach_begin_probes(&reach, true, now_us + 399 * MS));
	EXPECT_EQ(0, reach_begin_probes(&reach, false, now_us + 401 * MS));
	EXPECT_EQ(1, reach_begin_probes(&reach, true, now_us + 401 * MS));
	EXPECT_EQ(0, reach_begin_probes(&reach, true, now_us + 500 * MS));
	reach_record_failure(&reach, 1, 20, now_us + 650 * MS);
	EXPECT_EQ(REACH_FAILURES_MIN, 8);
	EXPECT_EQ(0, reach_begin_probes(&reach, true, now_us + 650 * MS));
	reach_record_failure(&reach, 2, 20, now_us + 702 * MS);
	EXPECT_EQ(8, reach_begin_probes(&reach, true, now_us + 702 * MS));
	EXPECT_EQ(0, reach_begin_probes(&reach, true, now_us + 800 * MS));
}

/* Any order of failures and successes: lost means that nothing connected. */
RC_GTEST_PROP(ReachTest, LostOnlyIfEnoughServersFailedSinceTheLastSuccess, ())
{
	const auto known = *rc::gen::inRange<uint32_t>(1, 30);
	const auto events =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(-3, 30));
	std::set<uint64_t> failed;
	struct reach reach = {};
	int64_t now_us = 1000 * MS;

	for (int event : events) {
		now_us += 10 * MS;
		if (event < 0) {
			reach_record_success(&reach, now_us);
			failed.clear();
		} else {
			failed.insert((uint64_t)event + 1);
			reach_record_failure(
			    &reach, (uint64_t)event + 1, known, now_us);
		}
		RC_ASSERT(reach.lost ==
			  (failed.size() >= std::min<size_t>(known, 8)));
	}
}

static struct gw_forward_candidate
candidate(uint32_t instance, uint64_t centre, bool takes, bool cut_off)
{
	return {instance, centre, takes, false, cut_off};
}

/* Instances that all shut down at the same time still serve each other. */
TEST(ForwardersTest, ThoseThatShutDownAreTheLastResort)
{
	std::vector<gw_forward_candidate> rows = {candidate(1, 7, true, true),
	    candidate(2, 7, false, false), candidate(3, 8, true, false)};
	uint32_t out[GW_FORWARDERS_MAX];

	rows[1].takes_as_last_resort = true;
	ASSERT_EQ(
	    1u, gw_forwarders_choose(rows.data(), rows.size(), &rows[0], out));
	EXPECT_EQ(3u, out[0]);
	rows[2].takes_forwarded = false;
	ASSERT_EQ(
	    1u, gw_forwarders_choose(rows.data(), rows.size(), &rows[0], out));
	EXPECT_EQ(2u, out[0]);
}

TEST(ForwardersTest, TheOwnDataCentreComesFirstWhileItIsEnough)
{
	std::vector<gw_forward_candidate> rows = {candidate(1, 7, true, true),
	    candidate(2, 7, true, false), candidate(3, 8, true, false),
	    candidate(4, 8, false, false)};
	uint32_t out[GW_FORWARDERS_MAX];

	ASSERT_EQ(
	    1u, gw_forwarders_choose(rows.data(), rows.size(), &rows[0], out));
	EXPECT_EQ(2u, out[0]);
	for (uint32_t i = 10; i < 13; i++)
		rows.push_back(candidate(i, 7, true, true));
	EXPECT_EQ(
	    2u, gw_forwarders_choose(rows.data(), rows.size(), &rows[0], out));
}

RC_GTEST_PROP(ForwardersTest, OnlyInstancesThatReachTheServersAreNamed, ())
{
	std::vector<gw_forward_candidate> rows;
	const auto count = *rc::gen::inRange<uint32_t>(1, 60);
	uint32_t out[GW_FORWARDERS_MAX];
	bool any = false;

	for (uint32_t i = 0; i < count; i++) {
		rows.push_back(candidate(i + 1,
		    *rc::gen::inRange<uint64_t>(0, 4),
		    *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()));
		any |= i > 0 && rows[i].takes_forwarded && !rows[i].cut_off;
	}
	uint32_t n = gw_forwarders_choose(rows.data(), count, &rows[0], out);

	RC_ASSERT((n > 0) == any);
	std::set<uint32_t> named(out, out + n);
	RC_ASSERT(named.size() == n);
	for (uint32_t instance : named) {
		RC_ASSERT(instance != rows[0].instance);
		RC_ASSERT(rows[instance - 1].takes_forwarded);
		RC_ASSERT(!rows[instance - 1].cut_off);
	}
}

/* Parses "Name: value" lines. */
static void
parse(struct header_fields *headers, const std::string &lines)
{
	size_t at = 0;

	headers_init(headers, alloc_default());
	while (at < lines.size()) {
		size_t colon = lines.find(": ", at),
		       end = lines.find("\r\n", at);

		headers_parse_name(headers, &lines[at], colon - at);
		headers_parse_value(
		    headers, &lines[colon + 2], end - colon - 2);
		at = end + 2;
	}
	headers_close(headers);
}

struct ForwardFieldTest : ::testing::Test {
	struct secure_keys keys = {}, other = {};
	struct gw_forward sent = {};
	struct header_fields headers;
	struct buf lines;

	void SetUp() override
	{
		ASSERT_EQ(
		    0, secure_keys_parse(std::string(64, '1').c_str(), &keys));
		ASSERT_EQ(
		    0, secure_keys_parse(std::string(64, '2').c_str(), &other));
		sent = {10, 20, 7, 2, 1, true, true, false};
		buf_init(&lines, alloc_default());
		gw_forward_write(&sent, "/a/1", &keys, &lines);
		parse(&headers, buf_text(&lines));
	}

	void TearDown() override
	{
		buf_free(&lines);
		headers_free(&headers);
	}
};

TEST_F(ForwardFieldTest, WhatIsWrittenIsRead)
{
	struct gw_forward read;

	ASSERT_EQ(0, gw_forward_read(&headers, "/a/1", 20, &keys, &read));
	EXPECT_EQ(10u, read.from);
	EXPECT_EQ(7u, read.document);
	EXPECT_EQ(2u, read.sends);
	EXPECT_EQ(1u, read.runs);
	EXPECT_TRUE(read.may_have_run);
	EXPECT_TRUE(read.may_have_arrived);
	EXPECT_FALSE(read.is_counted);
}

TEST_F(ForwardFieldTest, AnotherKeyTargetOrReceiverIsRejected)
{
	struct gw_forward read;

	EXPECT_EQ(
	    ERR_AUTH, gw_forward_read(&headers, "/a/1", 20, &other, &read));
	EXPECT_EQ(
	    ERR_AUTH, gw_forward_read(&headers, "/a/2", 20, &keys, &read));
	EXPECT_EQ(
	    ERR_AUTH, gw_forward_read(&headers, "/a/1", 21, &keys, &read));
}

TEST_F(ForwardFieldTest, BadFieldsAreMalformed)
{
	for (const char *value :
	    {"", "1 2 3 4 5", "x", "1 2 3 4 5 ff", "1 2 3 4 -"}) {
		struct header_fields bad;
		struct gw_forward read;

		parse(
		    &bad, std::string(GW_FORWARD_FIELD ": ") + value + "\r\n");
		EXPECT_NE(0, gw_forward_read(&bad, "/a/1", 20, &keys, &read))
		    << value;
		headers_free(&bad);
	}
}
