#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

/*
 * Checks that docs/OPERATING.md lists every setting, log event and metric of
 * the daemon, and docs/OPERATIONS.md those of the gateway.
 */

static std::string
read_text(const std::filesystem::path &path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

static bool
is_of_gateway(const std::filesystem::path &path)
{
	return path.string().find("src/gateway/") == 0;
}

/* Returns all C sources of the daemon and its libraries, or of the gateway. */
static std::string
read_sources(bool gateway = false)
{
	std::string all;

	for (const auto &entry :
	    std::filesystem::recursive_directory_iterator("src")) {
		if (entry.path().extension() == ".c" &&
		    is_of_gateway(entry.path()) == gateway)
			all += read_text(entry.path());
	}
	return all;
}

static std::set<std::string>
find_all(const std::string &text, const std::string &pattern)
{
	std::regex regex(pattern);
	std::set<std::string> found;

	for (std::sregex_iterator at(text.begin(), text.end(), regex), end;
	     at != end; at++) {
		for (size_t i = 1; i < at->size(); i++) {
			if ((*at)[i].matched)
				found.insert((*at)[i]);
		}
	}
	return found;
}

/* Returns the backquoted first cells of the table rows below a heading. */
static std::set<std::string>
rows_below(const std::string &page, const std::string &heading)
{
	size_t start = page.find("\n" + heading + "\n");
	size_t end = page.find("\n## ", start + 1);

	if (start == std::string::npos)
		return {};
	return find_all(page.substr(start, end - start), "\n\\| `([^`]+)`");
}

static std::set<std::string>
flags_of(const std::string &settings)
{
	std::set<std::string> flags;

	for (const std::string &name :
	    find_all(settings, "\\{\"([a-z-]+)\",\\s*KEY_"))
		flags.insert("--" + name);
	return flags;
}

/* Matches a call of log_event() with a literal name, or a choice of two. */
static const char named_call[] =
    "log_event\\(\\s*LOG_LEVEL_[A-Z]+,\\s*(?:[^\",;]*\\?\\s*)?"
    "\"([a-z_]+)\"(?:\\s*:\\s*\"([a-z_]+)\")?";

/* Returns the names passed to log_event(), and to entry_log_decision(), which
 * passes its own on to log_event(). */
static std::set<std::string>
events_of(const std::string &sources)
{
	std::set<std::string> events = find_all(sources, named_call);

	events.merge(find_all(
	    sources, "entry_log_decision\\([^;\"]*action,\\s*\"([a-z_]+)\""));
	return events;
}

static long
count(const std::string &text, const std::string &pattern)
{
	std::regex regex(pattern);

	return std::distance(
	    std::sregex_iterator(text.begin(), text.end(), regex),
	    std::sregex_iterator());
}

TEST(Operating, PageHasOneRowForEachFlag)
{
	std::set<std::string> flags =
	    flags_of(read_text("src/daemon/settings.c"));

	EXPECT_GE(flags.size(), 10U) << "the option table reads otherwise now";
	EXPECT_EQ(
	    rows_below(read_text("docs/OPERATING.md"), "## Settings"), flags);
}

TEST(Operating, PageHasOneRowForEachLogEvent)
{
	std::string sources = read_sources();
	std::set<std::string> events = events_of(sources);

	/* All calls match but the one in entry_log_decision(). */
	EXPECT_EQ(count(sources, "log_event\\(\\s*LOG_LEVEL_"),
	    count(sources, named_call) + 1);
	/* All calls of entry_log_decision() pass a literal name. */
	EXPECT_EQ(count(sources, "\tentry_log_decision\\("),
	    count(
		sources, "entry_log_decision\\([^;\"]*action,\\s*\"[a-z_]+\""));
	EXPECT_EQ(rows_below(read_text("docs/OPERATING.md"), "## Log"), events);
}

TEST(Operating, PageHasOneRowForEachMetric)
{
	std::set<std::string> metrics =
	    find_all(read_sources(), "\"(celeryford_[a-z_]+)\"");

	EXPECT_GE(metrics.size(), 10U);
	EXPECT_EQ(
	    rows_below(read_text("docs/OPERATING.md"), "## Metrics"), metrics);
}

/* Matches the log of a decision on a request; gw_exchange_log() writes the
 * request's id before the other fields. */
static const char request_call[] =
    "gw_exchange_log\\(\\s*ex,\\s*LOG_LEVEL_[A-Z]+,\\s*\"([a-z_]+)\"";

TEST(Operations, PageHasOneRowForEachLogEvent)
{
	std::string sources = read_sources(true);
	std::set<std::string> events = events_of(sources);

	EXPECT_EQ(count(sources, "log_event\\(\\s*LOG_LEVEL_"),
	    count(sources, named_call));
	EXPECT_EQ(count(sources, "gw_exchange_log\\(\\s*ex,"),
	    count(sources, request_call));
	events.merge(find_all(sources, request_call));
	EXPECT_EQ(rows_below(read_text("docs/OPERATIONS.md"), "## Log lines"),
	    events);
}

TEST(Operations, PageHasOneRowForEachMetric)
{
	std::set<std::string> metrics =
	    find_all(read_sources(true), "\"(celeryford_[a-z_]+)\"");

	EXPECT_GE(metrics.size(), 10U);
	EXPECT_EQ(
	    rows_below(read_text("docs/OPERATIONS.md"), "## Metrics"), metrics);
}

TEST(Operating, NewNamesAreSeenInSources)
{
	EXPECT_EQ(flags_of("{\"new-flag\", KEY_NEW, \"X\"}"),
	    std::set<std::string>{"--new-flag"});
	EXPECT_EQ(
	    events_of("log_event(\n    LOG_LEVEL_INFO, won ? \"a_won\" : "
		      "\"a_lost\", \"\");"
		      "log_event(LOG_LEVEL_WARN, \"b\", \"x=%s\");"
		      "entry_log_decision(f->entry, f, action, \"c\", n);"),
	    (std::set<std::string>{"a_won", "a_lost", "b", "c"}));
	EXPECT_EQ(rows_below("# P\n\n## Log\n\n| `a` | x |\n\n## Next\n| `b` |",
		      "## Log"),
	    std::set<std::string>{"a"});
}
