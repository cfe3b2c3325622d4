#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "base/buf.h"
#include "base/err.h"
#include "config/compile.h"
#include "config/schema.h"

/* Guards against pages of docs/ that no longer match the code. */

static std::string
read_page(const char *path)
{
	std::ifstream file(path);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

TEST(Docs, ApiHasTheErrorTableOfTheCode)
{
	std::string page = read_page("docs/API.md");

	for (int e = -1; e > ERR_END; e--) {
		const struct err_answer *row = err_answer(e);
		std::string line = "| `" + std::string(row->name) + "` | " +
				   std::to_string(row->http_status) + " | " +
				   (row->try_again ? "yes" : "no") + " | " +
				   row->text + " |\n";

		EXPECT_NE(page.find(line), std::string::npos) << line;
	}
}

TEST(Docs, ConfigurationNamesEveryKeyOfTheSchema)
{
	std::string page = read_page("docs/CONFIGURATION.md");
	std::stringstream keys;
	std::string key;
	struct buf text;

	buf_init(&text, nullptr);
	schema_print_keys(&text);
	keys << buf_text(&text);
	buf_free(&text);
	size_t count = 0;
	while (std::getline(keys, key)) {
		EXPECT_NE(page.find("| `" + key + "` |"), std::string::npos)
		    << key;
		count++;
	}
	size_t rows = 0;
	for (size_t at = 0; (at = page.find("\n| `", at)) != std::string::npos;
	     at++)
		rows++;
	EXPECT_EQ(rows, count) << "a row stands for no key of the schema";
}

TEST(Docs, ConfigurationExampleCompiles)
{
	std::string page = read_page("docs/CONFIGURATION.md");
	size_t start = page.find("```yaml\n") + 8;
	std::string yaml =
	    page.substr(start, page.find("```\n", start) - start);
	struct section_problems problems = {};
	struct section_list list;

	section_list_init(&list, alloc_default());
	EXPECT_EQ(section_split(yaml.data(), yaml.size(), &list, &problems), 0);
	struct cfg *cfg =
	    compile_sections(alloc_default(), &list, 1, nullptr, &problems);
	EXPECT_NE(cfg, nullptr) << problems.items[0].text;
	compile_free(alloc_default(), cfg);
	section_list_free(&list);
}
