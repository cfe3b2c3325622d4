#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "rlog_schedule.h"

/*
 * Scripted runs: test/scripts/rlog/NAME.txt holds commands and, after "> ",
 * what they print.  Replicas are named by number, "leader", or "f1", "f2"...
 * for the others in their order after the leader at the last "settle".
 * CF_SCRIPT_UPDATE=1 writes the files anew.
 */
class Script
{
      public:
	std::string run(std::istream &in)
	{
		std::ostringstream transcript;
		std::string line;

		while (std::getline(in, line)) {
			if (line.compare(0, 2, "> ") == 0)
				continue;
			transcript << line << "\n";
			std::istringstream words(line);
			std::string verb;
			if (!(words >> verb) || verb[0] == '#')
				continue;
			std::string printed = command(verb, words);
			if (!printed.empty())
				transcript << "> " << printed << "\n";
		}
		return transcript.str();
	}

      private:
	std::unique_ptr<Schedule> schedule;
	int leader = 0;

	RlogSim &sim()
	{
		return schedule->sim;
	}

	int node(std::istream &words)
	{
		std::string name;
		int n = (int)sim().nodes.size();

		words >> name;
		if (name == "leader")
			return sim().leader();
		if (name[0] == 'f')
			return (leader + std::stoi(name.substr(1))) % n;
		return std::stoi(name);
	}

	std::string cluster(std::istream &words)
	{
		RlogSim::Options options;

		words >> options.nodes >> options.seed;
		options.rlog.compact_bytes = 2000;
		options.rlog.chunk_bytes = 300;
		schedule = std::make_unique<Schedule>(options);
		return "";
	}

	std::string settle()
	{
		if (!sim().settle())
			return "no leader";
		leader = sim().leader();
		return "";
	}

	std::string change(std::istream &words)
	{
		std::string id, path, author = "ana";
		uint64_t base = 0;

		words >> id >> path >> base >> author;
		auto &op = sim().change(id, path, base, std::string(300, 'x'),
		    author.empty() ? "ana" : author);
		if (!sim().run_until([&] { return op.answered; }, 8000000))
			return id + ": no answer within 8 s";
		if (op.error == 0)
			return id + ": accepted as revision " +
			       std::to_string(op.revision);
		return id + ": " + err_name(op.error) + ", won by " +
		       op.won_author;
	}

	std::string read()
	{
		auto &op = sim().read();

		if (!sim().run_until([&] { return op.answered; }, 8000000))
			return "read: no answer within 8 s";
		return "read: revision " + std::to_string(op.revision);
	}

	std::string show()
	{
		std::map<uint64_t, int> revisions;
		std::ostringstream out;
		int up = 0;

		for (auto &n : sim().nodes) {
			if (!n.up())
				continue;
			up++;
			revisions[cfgstore_revision(n.cfgstore)]++;
		}
		out << up << " up";
		for (auto &item : revisions)
			out << ", revision " << item.first << " on "
			    << item.second;
		int l = sim().leader();
		if (l < 0) {
			out << ", no leader";
			return out.str();
		}
		struct rlog_status s = sim().status(l);
		int voters = 0;
		for (size_t i = 0; i < s.member_count; i++)
			voters += s.members[i].voter;
		out << ", " << voters << " voters, " << s.member_count - voters
		    << " learners";
		return out.str();
	}

	std::string fault(const std::string &verb, std::istream &words)
	{
		int n = node(words);

		if (verb == "kill")
			sim().kill(n);
		else if (verb == "start")
			sim().start(n);
		else if (verb == "lose-tail")
			sim().lose_tail(n);
		else if (verb == "lose-disk")
			sim().lose_disk(n);
		else if (verb == "fail-sync")
			sim().fail_sync(n);
		else if (verb == "isolate")
			sim().net.isolate(n, (int)sim().nodes.size());
		else if (verb == "handover")
			sim().event(n, RLOG_EV_HANDOVER);
		else
			return "unknown command";
		return "";
	}

	std::string command(const std::string &verb, std::istream &words)
	{
		int64_t ms = 0;

		if (verb == "cluster")
			return cluster(words);
		if (verb == "settle")
			return settle();
		if (verb == "change")
			return change(words);
		if (verb == "read")
			return read();
		if (verb == "show")
			return show();
		if (verb == "mend") {
			sim().net.mend_all();
			return "";
		}
		if (verb == "double-messages") {
			sim().net.duplicate_percent = 100;
			return "";
		}
		if (verb == "run") {
			words >> ms;
			sim().run_for(ms * 1000);
			return "";
		}
		if (verb == "freeze") {
			int n = node(words);

			words >> ms;
			sim().freeze(n, ms * 1000);
			return "";
		}
		if (verb == "check") {
			std::string seen = schedule->finish();

			return seen.empty() ? "every invariant held" : seen;
		}
		return fault(verb, words);
	}
};

TEST(RlogScript, PrintsWhatIsExpected)
{
	int count = 0;

	for (auto &file :
	    std::filesystem::directory_iterator("test/scripts/rlog")) {
		std::ifstream in(file.path());
		std::ostringstream expected;

		expected << in.rdbuf();
		std::istringstream lines(expected.str());
		std::string seen = Script().run(lines);
		if (getenv("CF_SCRIPT_UPDATE") != nullptr)
			std::ofstream(file.path()) << seen;
		else
			EXPECT_EQ(seen, expected.str()) << file.path();
		count++;
	}
	EXPECT_GT(count, 0);
}
