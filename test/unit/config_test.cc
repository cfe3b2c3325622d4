#include <gtest/gtest.h>

#include <string>

#include "config/compile.h"
#include "config/schema.h"
#include "config/section.h"

static const char document[] =
    "data_centres:\n"
    "  kingston: {region: caribbean}\n"
    "  hilo:\n"
    "    state: out\n"
    "versions:\n"
    "  small-1:\n"
    "    model: drafter\n"
    "    cost_micro: 100 # per 1,000 tokens\n"
    "  large-1: {model: drafter, cost_micro: 1000}\n"
    "workspaces:\n"
    "  permits:\n"
    "    key_hash: "
    "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8\n"
    "    versions: [drafter/*]\n"
    "    data_centres: [kingston]\n";

class Config : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		section_list_init(&list, alloc_default());
	}

	void TearDown() override
	{
		section_list_free(&list);
	}

	int split(const std::string &text)
	{
		return section_split(
		    text.data(), text.size(), &list, &problems);
	}

	struct cfg *compile(const struct cfg *previous)
	{
		return compile_sections(
		    alloc_default(), &list, 1, previous, &problems);
	}

	struct section_list list;
	struct section_problems problems = {};
};

TEST_F(Config, SplitsAndCompiles)
{
	ASSERT_EQ(split(document), 0);
	ASSERT_EQ(list.count, 5u);
	EXPECT_STREQ(section_find(&list, "versions/small-1")->text,
	    "model: drafter\ncost_micro: 100 # per 1,000 tokens\n");
	struct cfg *cfg = compile(nullptr);
	ASSERT_NE(cfg, nullptr) << problems.items[0].text;
	int small = cfg_find_version(cfg, "drafter/small-1");
	ASSERT_GE(small, 0);
	EXPECT_TRUE(cfg_version_allowed(cfg, 0, small, 0));
	EXPECT_FALSE(cfg_version_allowed(cfg, 0, small, 1));
	EXPECT_EQ(cfg_find_workspace_by_key(cfg, "permits-key"), -1);
	EXPECT_EQ(cfg_find_workspace_by_key(cfg, ""), 0);
	compile_free(alloc_default(), cfg);
}

TEST_F(Config, NoTeamCanBeNamedAsTheSystemIs)
{
	split("teams:\n  (replicas): {key_hash: \"" + std::string(64, '0') +
	      "\"}\n");
	EXPECT_EQ(compile(nullptr), nullptr);
	ASSERT_EQ(problems.count, 1u);
	EXPECT_EQ(
	    std::string(problems.items[0].text).find("a name may hold"), 0u);
}

TEST_F(Config, TablesGrowWhileTheyAreFilled)
{
	std::string text = "workspaces:\n";
	std::string hash(64, '0');

	for (int i = 0; i < 40; i++)
		text += "  w" + std::to_string(i) + ": {key_hash: \"" + hash +
			"\", priority: " + std::to_string(i) + "}\n";
	ASSERT_EQ(split(text), 0);
	struct cfg *cfg = compile(nullptr);
	ASSERT_NE(cfg, nullptr) << problems.items[0].text;
	ASSERT_EQ(cfg->workspace_count, 40);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(cfg->workspaces[i].priority, i);
	compile_free(alloc_default(), cfg);
}

TEST_F(Config, JoinThenSplitGivesTheSameSections)
{
	struct buf joined;
	struct section_list again;

	ASSERT_EQ(split(document), 0);
	buf_init(&joined, alloc_default());
	section_join(&list, &joined);
	section_list_init(&again, alloc_default());
	ASSERT_EQ(
	    section_split(buf_text(&joined), joined.len, &again, &problems), 0);
	ASSERT_EQ(again.count, list.count);
	for (size_t i = 0; i < list.count; i++)
		EXPECT_STREQ(list.items[i].text,
		    section_find(&again, list.items[i].path)->text);
	section_list_free(&again);
	buf_free(&joined);
}

TEST_F(Config, NamesEveryProblemWithItsLine)
{
	struct buf text;

	split("versions:\n"
	      "  a:\n"
	      "    model: m\n"
	      "    cost: 4\n"
	      "  b: {model: m, stage_permille: 1001}\n"
	      "workspaces:\n"
	      "  w: {key_hash: xyz}\n"
	      "towns:\n"
	      "  t: {a: 1}\n");
	EXPECT_EQ(compile(nullptr), nullptr);
	buf_init(&text, alloc_default());
	section_problems_print(&problems, &text);
	std::string seen = buf_text(&text);
	EXPECT_NE(seen.find("line 4: versions/a:"), std::string::npos) << seen;
	EXPECT_NE(seen.find("line 5: versions/b: stage_permille: 1001"),
	    std::string::npos)
	    << seen;
	EXPECT_NE(
	    seen.find("line 7: workspaces/w: key_hash:"), std::string::npos)
	    << seen;
	EXPECT_NE(seen.find("line 9: towns/t: there is no such group"),
	    std::string::npos)
	    << seen;
	buf_free(&text);
}

TEST_F(Config, IndicesStayWhenSectionsLeaveAndReturn)
{
	ASSERT_EQ(split(document), 0);
	struct cfg *first = compile(nullptr);
	section_list_free(&list);
	ASSERT_EQ(split("versions:\n  large-1: {model: drafter}\n"), 0);
	struct cfg *second = compile(first);
	ASSERT_NE(second, nullptr);
	EXPECT_EQ(cfg_find_version(second, "drafter/large-1"), 1);
	EXPECT_FALSE(second->versions[0].present);
	EXPECT_FALSE(cfg_version_allowed(second, 0, 0, 0));
	compile_free(alloc_default(), first);
	compile_free(alloc_default(), second);
}
