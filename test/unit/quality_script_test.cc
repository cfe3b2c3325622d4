#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "quality_world.h"

/*
 * Runs test/scripts/quality/: each line is a command, "= TEXT" is the expected
 * answer of the command before it, and "#" begins a comment.
 */
struct script {
	quality_world world;
	struct rng rng;
	int64_t now_us = 0;
	bool started = false;

	script()
	{
		rng_init(&rng, 1);
	}

	std::string choose(std::istringstream &in)
	{
		static const char *const reasons[] = {"cheapest", "requested",
		    "session", "explore", "roll-out", "best"};
		std::string w, mode, text;
		int cls;
		struct qual_query query = {};
		struct qual_chain chain;

		in >> w >> cls >> mode;
		query.workspace = world.workspace(w);
		query.task_class = (uint16_t)cls;
		query.rolling_open = rollout_open_versions(world.rollout, 0);
		query.candidates = world.all() & query.rolling_open;
		query.may_escalate = mode == "escalate";
		qual_choose_chain(world.qual, &rng, &query, &chain);
		for (int i = 0; i < chain.count; i++)
			text += world.versions[chain.versions[i]].name +
				std::string(" ");
		if (chain.count == 0)
			return "none";
		return text + reasons[chain.reason];
	}

	std::string rate(std::istringstream &in)
	{
		std::string w, v, place, result;
		struct cf_rating r = {};
		int cls, times = 1;

		in >> w >> v >> cls >> place >> result >> times;
		r.workspace = world.workspace(w);
		r.version = world.version(v);
		r.task_class = (uint16_t)cls;
		r.place = place == "kept"	 ? CF_KEPT
			  : place == "escalated" ? CF_ESCALATED
						 : CF_ALONE;
		r.passed = result == "pass";
		for (int i = 0; i < times; i++) {
			rollout_add_rating(world.rollout, r.version, r.passed,
			    qual_expected_pass_share(world.qual, &r), now_us);
			qual_add_rating(world.qual, &r, now_us);
			if (rollout_is_unsuspected(world.rollout, r.version))
				qual_set_reference(world.qual, r.version);
		}
		return "";
	}

	std::string quick(std::istringstream &in)
	{
		std::string w, v, result;
		int cls, times = 1;
		bool good;

		in >> w >> v >> cls >> result >> times;
		good = result == "good";
		for (int i = 0; i < times; i++) {
			rollout_add_outcome(world.rollout, world.version(v),
			    good,
			    qual_expected_good_share(world.qual,
				world.workspace(w), world.version(v),
				(uint16_t)cls, false),
			    now_us);
			qual_add_outcome(world.qual, world.workspace(w),
			    world.version(v), (uint16_t)cls, good, now_us);
		}
		return "";
	}

	std::string open(std::istringstream &in)
	{
		std::string text;
		int draw;
		uint64_t mask;

		in >> draw;
		mask = rollout_open_versions(world.rollout, (uint16_t)draw);
		for (size_t i = 0; i < world.versions.size(); i++)
			if (mask >> i & 1)
				text += (text.empty() ? "" : " ") +
					std::string(world.versions[i].name);
		return text.empty() ? "none" : text;
	}

	std::string state(const std::string &command, std::istringstream &in)
	{
		std::string v;

		in >> v;
		world.versions[world.version(v)].state =
		    command == "withdraw" ? CFG_WITHDRAWN
		    : command == "roll"	  ? CFG_ROLLING
					  : CFG_RELEASED;
		world.configure();
		return "";
	}

	std::string declare(const std::string &command, std::istringstream &in)
	{
		std::string name, word;
		int cost = 0, prior = 0, stage = 0, cap = 0;

		in >> name;
		if (command == "workspace") {
			in >> word >> prior;
			world.add_workspace(name, (uint16_t)prior);
			return "";
		}
		in >> word >> cost >> word >> prior;
		if (in >> word >> stage >> word >> cap)
			world.add_version(name, (uint32_t)cost, (uint16_t)prior,
			    CFG_ROLLING, (uint16_t)stage, (uint16_t)cap);
		else
			world.add_version(
			    name, (uint32_t)cost, (uint16_t)prior);
		return "";
	}

	std::string watch(const std::string &command, std::istringstream &in)
	{
		static const char *const names[] = {"open", "held", "stopped"};
		std::string v, result;
		int n = 1;
		uint32_t ms = 0;

		in >> v;
		if (command == "watch")
			return names[rollout_verdict(
			    world.rollout, world.version(v))];
		if (command == "unrated")
			return std::to_string(rollout_unrated_count(
			    world.rollout, world.version(v)));
		if (command == "latency")
			in >> ms;
		in >> n;
		for (int i = 0; i < n; i++) {
			if (command == "served") {
				rollout_add_served(
				    world.rollout, world.version(v), now_us);
				continue;
			}
			now_us += 1000000;
			rollout_add_latency(
			    world.rollout, world.version(v), ms * 1000, now_us);
		}
		return "";
	}

	std::string run(const std::string &line)
	{
		std::istringstream in(line);
		std::string command;
		double seconds;

		in >> command;
		if (command == "version" || command == "workspace")
			return declare(command, in);
		if (!started)
			world.start();
		started = true;
		if (command == "choose")
			return choose(in);
		if (command == "rate")
			return rate(in);
		if (command == "quick")
			return quick(in);
		if (command == "open")
			return open(in);
		if (command == "withdraw" || command == "release" ||
		    command == "roll")
			return state(command, in);
		if (command == "wait") {
			in >> seconds;
			now_us += (int64_t)(seconds * 1e6);
			rollout_add_latency(world.rollout, CFG_NONE, 0, now_us);
			return "";
		}
		if (command == "watch" || command == "unrated" ||
		    command == "served" || command == "latency")
			return watch(command, in);
		return "unknown command " + command;
	}
};

static void
run_file(const std::filesystem::path &path)
{
	std::ifstream file(path);
	std::string line, answer;
	script s;
	int number = 0, checks = 0;

	while (std::getline(file, line)) {
		number++;
		if (line.empty() || line[0] == '#')
			continue;
		if (line[0] == '=') {
			EXPECT_EQ(answer, line.substr(2))
			    << path.string() << ":" << number;
			checks++;
			continue;
		}
		answer = s.run(line);
	}
	EXPECT_GT(checks, 0) << path.string();
}

TEST(QualityScripts, AnswerAsWritten)
{
	int files = 0;

	for (const auto &entry :
	    std::filesystem::directory_iterator("test/scripts/quality")) {
		run_file(entry.path());
		files++;
	}
	EXPECT_GT(files, 0);
}
