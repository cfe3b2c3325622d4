#include <gtest/gtest.h>

#include "apr.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "base/err.h"
#include "entry/attempt.h"

/*
 * Guards against parts of plain answers that are taken for whole ones, since
 * their servers crashed and only the end of the connection delimits them.
 */
class Attempt : public testing::Test
{
      public:
	struct loop *loop = loop_new(alloc_default());
	struct http_client *client = nullptr;
	struct attempt *attempt = nullptr;
	struct attempt_end end = {};
	int listener = -1, conn = -1;
	int turns = 0;
	std::string address, answer, request;
	bool server_ends = false, done = false;

	void SetUp() override
	{
		struct http_client_options options = {
		    alloc_default(), loop, 500, 4};
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);

		client = http_client_new(&options);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(0, bind(listener, (struct sockaddr *)&a, sizeof(a)));
		ASSERT_EQ(0, listen(listener, 4));
		fcntl(listener, F_SETFL, O_NONBLOCK);
		getsockname(listener, (struct sockaddr *)&a, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	}

	void TearDown() override
	{
		attempt_free(attempt);
		http_client_free(client);
		loop_free(loop);
		if (listener >= 0)
			close(listener);
	}

	/* Runs one attempt at a plain request to its end. */
	void run()
	{
		static const struct attempt_handler handler = {
		    on_stream, on_first_byte, on_end};
		static const char *const headers[] = {nullptr};
		struct attempt_options options = {};

		options.alloc = alloc_default();
		options.loop = loop;
		options.client = client;
		options.address = address.c_str();
		options.method = "GET";
		options.path = "/x";
		options.headers = headers;
		options.correlation = "r/1";
		options.fresh = true;
		options.progress_ms = 1000;
		options.handler = &handler;
		options.ctx = this;
		attempt = attempt_start(&options);
		loop_after(loop, 0, tick, this);
		loop_run(loop);
		ASSERT_TRUE(done);
	}

      private:
	static void on_stream(void *, struct attempt *, const void *, size_t)
	{
	}

	static void on_first_byte(void *, struct attempt *)
	{
	}

	static void on_end(
	    void *ctx, struct attempt *, const struct attempt_end *end)
	{
		((Attempt *)ctx)->end = *end;
		((Attempt *)ctx)->done = true;
		loop_stop(((Attempt *)ctx)->loop);
	}

	/* Serves the request, then the probe if the server goes on. */
	void serve()
	{
		char bytes[4096];
		ssize_t n;
		std::string out;

		if (conn < 0) {
			conn = accept(listener, nullptr, nullptr);
			request.clear();
			if (conn < 0)
				return;
			fcntl(conn, F_SETFL, O_NONBLOCK);
		}
		while ((n = recv(conn, bytes, sizeof(bytes), 0)) > 0)
			request.append(bytes, (size_t)n);
		if (request.find("\r\n\r\n") == std::string::npos)
			return;
		out = request.find("/healthz") != std::string::npos
			  ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			  : answer;
		send(conn, out.data(), out.size(), MSG_NOSIGNAL);
		if (server_ends) {
			close(listener);
			listener = -1;
		}
		close(conn);
		conn = -1;
	}

	static void tick(void *ctx)
	{
		auto *t = (Attempt *)ctx;

		if (t->listener >= 0 || t->conn >= 0)
			t->serve();
		if (++t->turns > 1000)
			loop_stop(t->loop);
		else
			loop_after(t->loop, 2000, tick, ctx);
	}
};

TEST_F(Attempt, APlainAnswerWithoutALengthIsWholeIfItsServerGoesOn)
{
	answer = "HTTP/1.1 200 OK\r\nCeleryford-Request: r/1\r\n\r\nwhole";
	run();
	EXPECT_EQ(0, end.error);
	EXPECT_EQ(ERR_RAN, end.run_state);
	EXPECT_STREQ("whole", buf_text(attempt_body(attempt)));
}

TEST_F(Attempt, APlainAnswerWithoutALengthIsCutIfItsServerEnds)
{
	answer = "HTTP/1.1 200 OK\r\nCeleryford-Request: r/1\r\n\r\nha";
	server_ends = true;
	run();
	EXPECT_EQ(ERR_UPSTREAM_CUT, end.error);
	EXPECT_EQ(ERR_MAY_HAVE_RUN, end.run_state);
	EXPECT_TRUE(end.server_crashed);
}

TEST_F(Attempt, APlainAnswerWithALengthNeedsNoServerAfterwards)
{
	answer = "HTTP/1.1 200 OK\r\nCeleryford-Request: r/1\r\n"
		 "Content-Length: 5\r\n\r\nwhole";
	server_ends = true;
	run();
	EXPECT_EQ(0, end.error);
}
