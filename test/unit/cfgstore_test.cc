#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "state/cfgstore.h"

class Store
{
      public:
	explicit Store(cfgstore_options options = {})
	    : cfgstore(cfgstore_new(&options))
	{
	}

	~Store()
	{
		cfgstore_free(cfgstore);
	}

	cfgstore_result change(const char *id, const char *path, uint64_t base,
	    const char *text, const char *author = "ana",
	    const char *team = "ops")
	{
		cfgstore_item item = {path, base, text == nullptr,
		    text != nullptr ? text : "",
		    text != nullptr ? strlen(text) : 0};
		cfgstore_change what = {id, author, team, 7, &item, 1};
		cfgstore_result result;
		buf data;

		buf_init(&data, nullptr);
		EXPECT_EQ(cfgstore_change_encode(&what, &data), 0);
		cfgstore_apply(cfgstore, ++index, data.data, data.len, &result);
		buf_free(&data);
		return result;
	}

	std::string image() const
	{
		buf out;

		buf_init(&out, nullptr);
		cfgstore_encode_image(cfgstore, &out);
		std::string bytes((char *)out.data, out.len);
		buf_free(&out);
		return bytes;
	}

	void restore(const std::string &bytes)
	{
		EXPECT_EQ(cfgstore_restore_image(
			      cfgstore, bytes.data(), bytes.size()),
		    0);
		index = cfgstore_applied_index(cfgstore);
	}

	std::string since(uint64_t revision, int *error)
	{
		std::string seen;

		*error = cfgstore_changes_since(
		    cfgstore, revision,
		    [](void *ctx, const cfgstore_section *s) {
			    *(std::string *)ctx +=
				std::string(s->removed ? "-" : "") + s->path +
				" ";
		    },
		    &seen);
		return seen;
	}

	struct cfgstore *cfgstore;
	uint64_t index = 0;
};

TEST(Cfgstore, TheLoserOfARaceIsToldWhoWon)
{
	Store store;

	EXPECT_EQ(store.change("1", "limits", 0, "a").revision, 1u);
	EXPECT_EQ(store.change("2", "limits", 1, "b", "bea").revision, 2u);
	cfgstore_result lost = store.change("3", "limits", 1, "c", "cyd");
	EXPECT_EQ(lost.error, ERR_CONFLICT);
	EXPECT_EQ(lost.won_revision, 2u);
	EXPECT_STREQ(lost.won_author, "bea");
	EXPECT_STREQ(lost.path, "limits");
	EXPECT_EQ(cfgstore_revision(store.cfgstore), 2u);
}

TEST(Cfgstore, WithoutTheBaseCheckAnAcceptedChangeIsOverwritten)
{
	cfgstore_options off = {};
	off.unsafe_skip_base_check = true;
	Store store(off);

	store.change("1", "limits", 0, "a");
	store.change("2", "limits", 1, "b", "bea");
	EXPECT_EQ(store.change("3", "limits", 1, "c", "cyd").error, 0);
}

TEST(Cfgstore, AResendHasTheSameAnswerAlsoAfterASnapshot)
{
	Store first, second;

	first.change("1", "limits", 0, "a");
	first.change("2", "limits", 1, "b");
	first.change("3", "limits", 0, "c");
	second.restore(first.image());
	for (Store *store : {&first, &second}) {
		cfgstore_result again = store->change("1", "limits", 0, "a");
		EXPECT_EQ(again.error, 0);
		EXPECT_EQ(again.revision, 1u);
		EXPECT_TRUE(again.repeated);
		EXPECT_EQ(
		    store->change("3", "limits", 0, "c").error, ERR_CONFLICT);
		EXPECT_EQ(cfgstore_revision(store->cfgstore), 2u);
	}
	EXPECT_EQ(first.image(), second.image());
	cfgstore_options off = {};
	off.unsafe_skip_ids = true;
	Store store(off);
	store.change("1", "limits", 0, "a");
	EXPECT_EQ(store.change("1", "limits", 0, "a").error, ERR_CONFLICT);
}

TEST(Cfgstore, IdsExpireByLogPosition)
{
	cfgstore_options options = {};
	options.id_window = 10;
	Store store(options);
	cfgstore_result result;

	store.change("1", "limits", 0, "a");
	for (int i = 0; i < 9; i++)
		store.change(
		    ("x" + std::to_string(i)).c_str(), "limits", 0, "a");
	EXPECT_TRUE(cfgstore_get_answer(store.cfgstore, "1", &result));
	store.change("y", "limits", 0, "a");
	EXPECT_FALSE(cfgstore_get_answer(store.cfgstore, "1", &result));
}

TEST(Cfgstore, ATeamChangesItsOwnSectionsOnly)
{
	cfgstore_options options = {};
	options.may_change = [](void *, const struct cfgstore *,
				 const char *team, const char *path) {
		return strncmp(path, team, strlen(team)) == 0;
	};
	Store store(options);

	EXPECT_EQ(store.change("1", "ops/a", 0, "a", "ana", "ops").error, 0);
	cfgstore_result result =
	    store.change("2", "ops/a", 1, "a", "ana", "law");
	EXPECT_EQ(result.error, ERR_FORBIDDEN);
	EXPECT_STREQ(result.path, "ops/a");
}

TEST(Cfgstore, DeltasNameRemovedSectionsAndEndAtTheHistory)
{
	cfgstore_options options = {};
	options.history_max = 10;
	Store store(options);
	int error;

	store.change("1", "a", 0, "a");
	store.change("2", "b", 0, "b");
	store.change("3", "a", 1, nullptr);
	EXPECT_EQ(store.since(1, &error), "b -a ");
	EXPECT_EQ(cs_section_count(store.cfgstore), 1u);
	for (int i = 4; i < 20; i++)
		store.change(
		    std::to_string(i).c_str(), "b", i == 4 ? 2 : i - 1, "b");
	EXPECT_EQ(cfgstore_revision(store.cfgstore), 19u);
	EXPECT_LE(cfgstore_history_count(store.cfgstore), 10u);
	store.since(1, &error);
	EXPECT_EQ(error, ERR_STALE);
	EXPECT_EQ(store.since(18, &error), "b ");
	EXPECT_EQ(error, 0);
	store.since(20, &error);
	EXPECT_EQ(error, ERR_STALE);
}

TEST(Cfgstore, MalformedChangesAreRefused)
{
	Store store;
	cfgstore_result result;

	cfgstore_apply(store.cfgstore, 1, "\xff\xff", 2, &result);
	EXPECT_EQ(result.error, ERR_MALFORMED);
	EXPECT_EQ(store.change("", "a", 0, "a").error, ERR_MALFORMED);
	EXPECT_EQ(store.change("1", "", 0, "a").error, ERR_MALFORMED);
	EXPECT_EQ(store.change("2", "a b", 0, "a").error, ERR_MALFORMED);
	EXPECT_EQ(store.change("3", "a", 0, "a", "").error, ERR_MALFORMED);
	EXPECT_EQ(
	    store.change("4", std::string(200, 'p').c_str(), 0, "a").error,
	    ERR_MALFORMED);
	EXPECT_EQ(
	    cfgstore_restore_image(store.cfgstore, "\xff\xff", 2), ERR_CORRUPT);
}

/* Against a map: text, revision and refusals, through images at any point. */
RC_GTEST_PROP(Cfgstore, AgreesWithAModel, ())
{
	const auto steps =
	    *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
		rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6),
		    rc::gen::inRange(0, 10)));
	std::map<std::string, std::pair<uint64_t, std::string>> model;
	Store store;
	uint64_t revision = 0;
	int id = 0;

	for (const auto &step : steps) {
		std::string path = "p" + std::to_string(std::get<0>(step));
		auto at = model.find(path);
		uint64_t current = at != model.end() ? at->second.first : 0;
		uint64_t base = std::get<1>(step) == 0 ? current + 1 : current;
		bool remove = std::get<1>(step) == 1 && current != 0;
		std::string text = std::to_string(id);
		cfgstore_result result =
		    store.change(std::to_string(++id).c_str(), path.c_str(),
			base, remove ? nullptr : text.c_str());

		if (base != current) {
			/* Only the revision that removed it may differ. */
			if (result.error == 0)
				RC_ASSERT(current == 0);
			else
				RC_ASSERT(result.error == ERR_CONFLICT);
		}
		if (result.error == 0) {
			revision++;
			if (remove)
				model.erase(path);
			else
				model[path] = {revision, text};
		} else {
			RC_ASSERT(base != current);
		}
		RC_ASSERT(cfgstore_revision(store.cfgstore) == revision);
		if (std::get<2>(step) == 0)
			store.restore(store.image());
	}
	RC_ASSERT(cs_section_count(store.cfgstore) == model.size());
	size_t i = 0;
	for (const auto &item : model) {
		cfgstore_section section;

		RC_ASSERT(cfgstore_section_at(store.cfgstore, i++, &section));
		RC_ASSERT(item.first == section.path);
		RC_ASSERT(item.second.first == section.revision);
		RC_ASSERT(item.second.second ==
			  std::string(section.text, section.len));
	}
}
