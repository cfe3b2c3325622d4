#include <gtest/gtest.h>

#include "apr.h"
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

#include "base/err.h"
#include "route/table.h"

/* A table with one service and the routes that a test adds. */
struct Table {
	struct route_table *table = route_table_new();
	struct buf why;

	Table()
	{
		buf_init(&why, alloc_default());
		route_table_add_service(table, "drafts");
	}

	~Table()
	{
		route_table_free(table);
		buf_free(&why);
	}

	struct route_entry *add(const char *name, const char *host,
	    const char *prefix, const char *service = "drafts",
	    uint32_t weight = 1)
	{
		struct route_entry *route = route_table_add_route(table, name);

		route->host = host;
		route->prefix = prefix;
		route->timeout_ms = 1000;
		route_table_add_target(table, route, service, weight);
		return route;
	}

	std::string finish()
	{
		buf_clear(&why);
		return route_table_finish(table, &why) == 0 ? "ok"
							    : buf_text(&why);
	}

	std::string route_of(const char *host, const char *path)
	{
		const struct route_entry *route =
		    route_table_find_route(table, host, path);

		return route != NULL ? route->name : "none";
	}
};

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
	Table t;

	t.add("all", "a.example", "/");
	t.add("letters", "a.example", "/letters/");
	t.add("urgent", "a.example", "/letters/urgent/");
	t.add("other", "b.example", "/letters/");
	ASSERT_EQ("ok", t.finish());
	EXPECT_EQ("all", t.route_of("a.example", "/x"));
	EXPECT_EQ("all", t.route_of("a.example", "/letters"));
	EXPECT_EQ("letters", t.route_of("a.example", "/letters/7"));
	EXPECT_EQ("urgent", t.route_of("a.example", "/letters/urgent/7?x=/"));
	EXPECT_EQ("letters", t.route_of("A.Example:8080", "/letters/?a=/b/"));
	EXPECT_EQ("other", t.route_of("b.example", "/letters/urgent/"));
	EXPECT_EQ("none", t.route_of("b.example", "/"));
	EXPECT_EQ("none", t.route_of("c.example", "/letters/"));
}

TEST(RouteTable, WhatIsWrongIsRefusedWithItsPlace)
{
	struct {
		const char *host, *prefix, *service;
		uint32_t weight, timeout_ms;
		const char *expected;
	} rows[] = {
	    {"a", "/x/", "nowhere", 1, 1,
		"route r names the unknown service nowhere"},
	    {"a", "/x/", "drafts", 0, 1, "the weights of route r add up to 0"},
	    {"a", "/x/", "drafts", 1, 0, "route r has a timeout of 0"},
	    {"a", "x/", "drafts", 1, 1,
		"route r: its prefix must begin and end with a slash"},
	    {"", "/x/", "drafts", 1, 1, "route r has no host"},
	    {"a", "/same/", "drafts", 1, 1,
		"routes first and r have the same host and prefix"},
	};

	for (auto &row : rows) {
		Table t;
		struct route_entry *route;

		t.add("first", "a", "/same/");
		route =
		    t.add("r", row.host, row.prefix, row.service, row.weight);
		route->timeout_ms = row.timeout_ms;
		EXPECT_EQ(row.expected, t.finish());
	}
}

TEST(RouteTable, WorkspacesMayNotShareAKey)
{
	Table t;
	struct route_workspace *a = route_table_add_workspace(t.table, "a");
	struct route_workspace *b = route_table_add_workspace(t.table, "b");

	EXPECT_EQ(0, route_table_add_key(t.table, a, "k1", &t.why));
	EXPECT_EQ(0, route_table_add_key(t.table, a, "k2", &t.why));
	EXPECT_EQ(ERR_INVALID, route_table_add_key(t.table, b, "k1", &t.why));
	EXPECT_STREQ("workspaces a and b share an API key", buf_text(&t.why));
	EXPECT_EQ(a, route_table_find_workspace(t.table, "k2"));
	EXPECT_EQ(nullptr, route_table_find_workspace(t.table, "k3"));
}

/*
 * For any set of routes, the lookup finds the same route as trying every
 * prefix.
 */
RC_GTEST_PROP(RouteTable, LookupIsThatOfTheDefinition, ())
{
	auto segment = rc::gen::element<std::string>("a", "b", "ab");
	auto path = rc::gen::map(
	    rc::gen::resize(
		4, rc::gen::container<std::vector<std::string>>(segment)),
	    [](const std::vector<std::string> &parts) {
		    std::string text = "/";

		    for (auto &part : parts)
			    text += part + "/";
		    return text;
	    });
	auto prefixes = *rc::gen::resize(
	    12, rc::gen::container<std::vector<std::string>>(path));
	std::string wanted = *path + *segment;
	std::map<std::string, int> set;
	std::string best;
	Table t;

	for (auto &prefix : prefixes)
		set[prefix] = 1;
	for (auto &[prefix, one] : set) {
		t.add(prefix.c_str(), "h", prefix.c_str());
		if (wanted.compare(0, prefix.size(), prefix) == 0 &&
		    prefix.size() > best.size())
			best = prefix;
	}
	RC_ASSERT(t.finish() == "ok");
	RC_ASSERT(
	    t.route_of("h", wanted.c_str()) == (best.empty() ? "none" : best));
}
