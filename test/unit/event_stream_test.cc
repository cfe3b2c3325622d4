#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "entry/sse.h"
#include "http/event_stream.h"

/* A stream that arrives in parts of a size, and the events found in it. */
struct Reader {
	struct buf buf;
	size_t scanned = 0;
	size_t examined = 0; /* bytes looked at, all calls together */
	std::vector<std::string> events;

	Reader()
	{
		buf_init(&buf, nullptr);
	}

	~Reader()
	{
		buf_free(&buf);
	}

	void feed(const std::string &part)
	{
		size_t n;

		buf_add(&buf, part.data(), part.size());
		do {
			size_t before = scanned;

			n = event_stream_next(&buf, &scanned);
			examined += (n > 0 ? n : scanned) - before;
			events.emplace_back((const char *)buf.data, n);
			buf_consume(&buf, n);
		} while (n > 0);
		events.pop_back();
	}
};

TEST(EventStream, EventsAreTheSameInPartsOfAnySize)
{
	const std::string stream = "id: 1\ndata: a\n\n: note\r\n\r\ndata: b\n"
				   "data: c\r\n\r\n\n\nid: 2\n\r\nda";
	Reader whole;

	whole.feed(stream);
	EXPECT_EQ(
	    (std::vector<std::string>{"id: 1\ndata: a\n\n", ": note\r\n\r\n",
		"data: b\ndata: c\r\n\r\n", "\n\n", "id: 2\n\r\n"}),
	    whole.events);
	for (size_t size = 1; size < stream.size(); size++) {
		Reader reader;

		for (size_t at = 0; at < stream.size(); at += size)
			reader.feed(stream.substr(at, size));
		EXPECT_EQ(whole.events, reader.events) << size;
	}
}

/*
 * Guards against work that grows with the square of an event that doesn't end:
 * each byte is examined once, whatever the size of the parts.
 */
TEST(EventStream, EachByteIsExaminedOnce)
{
	for (size_t size : {1, 7, 4096}) {
		const size_t total = EVENT_STREAM_EVENT_MAX_BYTES;
		std::string part(size, 'x');
		Reader reader;

		for (size_t at = 0; at < total; at += size) {
			reader.feed(part);
			/* What was examined isn't looked at again. */
			if (reader.scanned >= 2)
				memcpy(reader.buf.data, "\n\n", 2);
		}
		EXPECT_TRUE(reader.events.empty());
		EXPECT_EQ(reader.buf.len, reader.examined);
	}
}

/* celeryfordd ends a stream whose event exceeds the limit, and not before. */
TEST(EventStream, AnEventAboveTheLimitEndsTheStream)
{
	struct sse sse;
	struct buf out;
	size_t sent = 0;

	sse_init(&sse, nullptr);
	buf_init(&out, nullptr);
	while (sent < EVENT_STREAM_EVENT_MAX_BYTES) {
		ASSERT_EQ(0, sse_feed(&sse, "x", 1, &out));
		sent++;
	}
	EXPECT_NE(0, sse_feed(&sse, "x", 1, &out));
	EXPECT_EQ(0u, out.len);
	buf_free(&out);
	sse_free(&sse);
}
