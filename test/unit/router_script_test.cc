#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "router_cfg.h"

namespace
{

typedef std::map<std::string, std::string> Words;

std::vector<std::string>
split(const std::string &text, char by)
{
	std::vector<std::string> parts;
	std::istringstream in(text);
	std::string part;

	while (std::getline(in, part, by))
		if (!part.empty())
			parts.push_back(part);
	return parts;
}

/*
 * Runs one script of configuration and event lines and formats the resulting
 * actions.
 */
class Script
{
      public:
	struct cf_router_options options = {};
	TestCfg cfg;
	struct cf_router *router = nullptr;
	struct cf_actions actions = {};

	Script()
	{
		options.seed = 1;
		options.max_servers = 16;
		options.max_requests = 64;
		options.max_sessions = 16;
	}

	~Script()
	{
		cf_router_free(router);
	}

	/*
	 * Runs one line and returns the resulting actions, without the "> "
	 * prefix.
	 */
	std::vector<std::string> run_line(const std::string &text)
	{
		std::vector<std::string> words = split(text, ' ');
		Words w;

		for (size_t i = 0; i < words.size(); i++) {
			size_t eq = words[i].find('=');

			if (eq == std::string::npos)
				w[i < 2 || isdigit(words[i][0])
					? std::to_string(i)
					: words[i]] = words[i];
			else
				w[words[i].substr(0, eq)] =
				    words[i].substr(eq + 1);
		}
		if (!isdigit(words[0][0])) {
			configure(words[0], w);
			return {};
		}
		return run_event(atoll(words[0].c_str()) * 1000, words[1],
		    words.size() > 2 ? words[2] : "", w);
	}

      private:
	static int64_t number(
	    const Words &w, const std::string &key, int64_t otherwise)
	{
		auto it = w.find(key);

		return it == w.end() ? otherwise : atoll(it->second.c_str());
	}

	template <typename T>
	uint64_t mask(std::vector<T> &rows, const Words &w,
	    const std::string &key, uint64_t otherwise)
	{
		auto it = w.find(key);
		uint64_t bits = 0;

		if (it == w.end())
			return otherwise;
		for (const std::string &name : split(it->second, ','))
			bits |= UINT64_C(1) << TestCfg::find(rows, name, true);
		return bits;
	}

	void configure(const std::string &what, const Words &w)
	{
		std::string name = w.count("1") ? w.at("1") : "";

		if (what == "options") {
			options.max_requests = (uint32_t)number(
			    w, "requests", options.max_requests);
			options.max_sessions = (uint32_t)number(
			    w, "sessions", options.max_sessions);
			options.unsafe =
			    (uint32_t)number(w, "unsafe", options.unsafe);
		} else if (what == "data-centre") {
			auto &d = cfg.data_centres[TestCfg::find(
			    cfg.data_centres, name, true)];
			d.out = number(w, "out", d.out) != 0;
		} else if (what == "service") {
			TestCfg::find(cfg.services, name, true);
		} else if (what == "version") {
			set_version(name, w);
		} else if (what == "workspace") {
			set_workspace(name, w);
		} else {
			ADD_FAILURE() << "unknown line: " << what;
		}
	}

	void set_version(const std::string &name, const Words &w)
	{
		auto &v = cfg.versions[TestCfg::find(cfg.versions, name, true)];

		v.cost_micro = (uint32_t)number(w, "cost", v.cost_micro);
		v.prior_permille =
		    (uint16_t)number(w, "prior", v.prior_permille);
		v.stage_permille =
		    (uint16_t)number(w, "stage", v.stage_permille);
		v.serve_isolated = number(w, "isolated", v.serve_isolated) != 0;
		if (v.unrated_max == 0)
			v.unrated_max = 1000;
		if (w.count("state"))
			v.state = w.at("state") == "rolling"	 ? CFG_ROLLING
				  : w.at("state") == "withdrawn" ? CFG_WITHDRAWN
								 : CFG_RELEASED;
		if (w.count("model"))
			v.model =
			    TestCfg::find(cfg.models, w.at("model"), true);
	}

	void set_workspace(const std::string &name, const Words &w)
	{
		auto &s =
		    cfg.workspaces[TestCfg::find(cfg.workspaces, name, true)];

		s.versions = mask(cfg.versions, w, "versions", s.versions);
		s.services = mask(cfg.services, w, "services", s.services);
		s.data_centres = (uint32_t)mask(
		    cfg.data_centres, w, "data-centres", s.data_centres);
		s.priority = (uint16_t)number(w, "priority", s.priority);
		s.weight = (uint16_t)number(w, "weight", s.weight);
		s.target_permille =
		    (uint16_t)number(w, "target", s.target_permille);
		s.deadline_ms = (uint32_t)number(w, "deadline", s.deadline_ms);
		s.rate_per_s = (uint32_t)number(w, "rate", s.rate_per_s);
		s.retry_permille =
		    (uint32_t)number(w, "retry", s.retry_permille);
	}

	uint16_t named_version(const Words &w, const char *key,
	    std::vector<struct cfg_version> &rows)
	{
		return w.count(key) ? TestCfg::find(rows, w.at(key), false)
				    : (uint16_t)CFG_NONE;
	}

	static std::string error_name(int error)
	{
		std::string name = err_name(error);

		for (char &c : name)
			c = (char)tolower(c);
		return name;
	}

	static int error_named(const std::string &name)
	{
		for (int e = -1; e > ERR_END; e--)
			if (name == error_name(e))
				return e;
		ADD_FAILURE() << "unknown error: " << name;
		return 0;
	}

	void request(struct cf_request &q, int64_t now, const std::string &id,
	    const Words &w)
	{
		q.id = (uint32_t)atoi(id.c_str());
		q.workspace =
		    TestCfg::find(cfg.workspaces, w.at("workspace"), false);
		q.model = w.count("model")
			      ? TestCfg::find(cfg.models, w.at("model"), false)
			      : (uint16_t)CFG_NONE;
		q.version = named_version(w, "version", cfg.versions);
		if (w.count("service")) {
			q.kind = CF_SERVICE;
			q.service =
			    TestCfg::find(cfg.services, w.at("service"), false);
		}
		q.once = w.count("once") != 0;
		q.streaming = w.count("streaming") != 0;
		q.forwarded = w.count("forwarded") != 0;
		q.session = (uint64_t)number(w, "session", 0);
		q.session_birth = (uint64_t)number(w, "birth", 0);
		q.fingerprint = (uint64_t)number(w, "fingerprint", 0);
		q.prompt_tokens = (uint32_t)number(w, "prompt", 0);
		if (w.count("prefixes"))
			for (const auto &p : split(w.at("prefixes"), ','))
				q.prefixes[q.prefix_count++] =
				    (uint64_t)atoll(p.c_str());
		if (w.count("deadline"))
			q.deadline_us = now + number(w, "deadline", 0) * 1000;
	}

	void announce(struct cf_announce &a, int64_t now, const std::string &id,
	    const Words &w)
	{
		a.server = (uint16_t)atoi(id.c_str());
		a.incarnation = (uint64_t)number(w, "incarnation", 1);
		a.versions = mask(cfg.versions, w, "versions", 0);
		a.services = mask(cfg.services, w, "services", 0);
		a.warmth = w.count("cold") ? CF_COLD : CF_WARM;
		a.slots = (uint16_t)number(w, "slots", 4);
		a.cold_slots = (uint16_t)number(w, "cold-slots", 1);
		a.running = (uint16_t)number(w, "running", 0);
		a.queued = (uint16_t)number(w, "queued", 0);
		a.leaving = w.count("leaving") != 0;
		a.reported_us = now - number(w, "lag", 0) * 1000;
	}

	void attempt(
	    struct cf_attempt &t, const std::string &id, const Words &w)
	{
		t.request = (uint32_t)atoi(id.c_str());
		t.attempt = (uint8_t)atoi(id.c_str() + id.find('/') + 1);
		t.score_permille = (uint16_t)number(w, "score", 0xffff);
		t.defective = w.count("defective") != 0;
		t.server_crashed = w.count("crashed") != 0;
		t.error = w.count("error") ? error_named(w.at("error")) : 0;
		if (w.count("state"))
			for (int s = ERR_NOT_RUN; s <= ERR_RAN; s++)
				if (w.at("state") ==
				    err_run_state_name((enum err_run_state)s))
					t.run_state = (enum err_run_state)s;
	}

	bool build_event(struct cf_event &ev, int64_t now,
	    const std::string &what, const std::string &id, const Words &w)
	{
		static const std::map<std::string, enum cf_event_kind> kinds = {
		    {"config", CF_EV_CONFIG}, {"announce", CF_EV_ANNOUNCE},
		    {"gone", CF_EV_SERVER_GONE}, {"request", CF_EV_REQUEST},
		    {"claimed", CF_EV_CLAIMED},
		    {"first-token", CF_EV_FIRST_TOKEN}, {"done", CF_EV_DONE},
		    {"failed", CF_EV_FAILED},
		    {"caller-gone", CF_EV_CALLER_GONE}, {"bind", CF_EV_BIND},
		    {"crash-mark", CF_EV_CRASH_MARK}, {"credit", CF_EV_CREDIT},
		    {"cache", CF_EV_CACHE}, {"isolated", CF_EV_ISOLATED},
		    {"wake", CF_EV_WAKE}, {"neighbour", CF_EV_NEIGHBOUR},
		    {"instances", CF_EV_INSTANCES}};
		auto it = kinds.find(what);

		if (it == kinds.end())
			return false;
		ev.kind = it->second;
		switch (ev.kind) {
		case CF_EV_CONFIG:
			ev.u.config = cfg.next();
			break;
		case CF_EV_ANNOUNCE:
			announce(ev.u.announce, now, id, w);
			break;
		case CF_EV_SERVER_GONE:
			ev.u.gone.server = (uint16_t)atoi(id.c_str());
			ev.u.gone.crashed = w.count("crashed") != 0;
			break;
		case CF_EV_REQUEST:
			request(ev.u.request, now, id, w);
			break;
		case CF_EV_CLAIMED:
			ev.u.claimed.request = (uint32_t)atoi(id.c_str());
			ev.u.claimed.error =
			    w.count("error") ? error_named(w.at("error")) : 0;
			break;
		case CF_EV_FIRST_TOKEN:
		case CF_EV_DONE:
		case CF_EV_FAILED:
			attempt(ev.u.attempt, id, w);
			break;
		case CF_EV_CALLER_GONE:
			ev.u.caller_gone.request = (uint32_t)atoi(id.c_str());
			break;
		default:
			build_other_event(ev, now, id, w);
			break;
		}
		return true;
	}

	void build_other_event(struct cf_event &ev, int64_t now,
	    const std::string &id, const Words &w)
	{
		switch (ev.kind) {
		case CF_EV_BIND:
			ev.u.bind.session = (uint64_t)atoll(id.c_str());
			ev.u.bind.workspace = TestCfg::find(
			    cfg.workspaces, w.at("workspace"), false);
			ev.u.bind.version =
			    named_version(w, "version", cfg.versions);
			break;
		case CF_EV_CRASH_MARK:
			ev.u.crash_mark.fingerprint =
			    (uint64_t)atoll(id.c_str());
			ev.u.crash_mark.crashes =
			    (uint8_t)number(w, "crashes", 1);
			break;
		case CF_EV_CREDIT:
			ev.u.credit.server = (uint16_t)atoi(id.c_str());
			ev.u.credit.incarnation =
			    (uint64_t)number(w, "incarnation", 1);
			ev.u.credit.credits = (uint16_t)number(w, "credits", 1);
			ev.u.credit.until_us =
			    now + number(w, "for", 5000) * 1000;
			break;
		case CF_EV_CACHE:
			ev.u.cache.server = (uint16_t)atoi(id.c_str());
			ev.u.cache.sequence =
			    (uint64_t)number(w, "sequence", 1);
			ev.u.cache.prefix = (uint64_t)number(w, "prefix", 0);
			ev.u.cache.stored = w.count("evicted") == 0;
			break;
		case CF_EV_ISOLATED:
			ev.u.isolated = id != "ended";
			break;
		case CF_EV_NEIGHBOUR:
			ev.u.neighbour.data_centre =
			    TestCfg::find(cfg.data_centres, id, false);
			ev.u.neighbour.spare_slots =
			    (uint16_t)number(w, "spare", 0);
			ev.u.neighbour.versions =
			    mask(cfg.versions, w, "versions", 0);
			ev.u.neighbour.services =
			    mask(cfg.services, w, "services", 0);
			ev.u.neighbour.cut_off = w.count("cut-off") != 0;
			break;
		case CF_EV_INSTANCES:
			ev.u.instances = (uint16_t)atoi(id.c_str());
			break;
		default:
			break;
		}
	}

	std::vector<std::string> run_event(int64_t now, const std::string &what,
	    const std::string &id, const Words &w)
	{
		struct cf_event ev = {};
		std::vector<std::string> out;

		if (router == nullptr)
			router = cf_router_new(&options);
		if (!build_event(ev, now, what, id, w)) {
			ADD_FAILURE() << "unknown event: " << what;
			return {};
		}
		cf_router_step(router, now, &ev, &actions);
		for (size_t i = 0; i < actions.count; i++)
			if (actions.items[i].kind != CF_ACT_WAKE)
				out.push_back(
				    format_action(actions.items[i], now));
		return out;
	}

	std::string version_name(uint16_t v)
	{
		return v == CFG_NONE ? "-" : cfg.versions[v].name;
	}

	std::string format_action(const struct cf_action &a, int64_t now)
	{
		std::ostringstream s;

		switch (a.kind) {
		case CF_ACT_CLAIM:
			s << "claim " << a.request;
			break;
		case CF_ACT_DISPATCH:
			s << "dispatch " << a.request << "/" << +a.attempt
			  << " server=" << a.server
			  << " version=" << version_name(a.version)
			  << " why=" << cf_reason_name(a.reason);
			break;
		case CF_ACT_FORWARD:
			s << "forward " << a.request << "/" << +a.attempt
			  << " to=" << cfg.data_centres[a.data_centre].name
			  << " version=" << version_name(a.version);
			break;
		case CF_ACT_CANCEL:
			s << "cancel " << a.request << "/" << +a.attempt;
			break;
		case CF_ACT_ANSWER:
			s << "answer " << a.request << "/" << +a.attempt
			  << " version=" << version_name(a.version);
			break;
		case CF_ACT_REFUSE:
			s << "refuse " << a.request
			  << " error=" << error_name(a.error)
			  << " state=" << err_run_state_name(a.run_state)
			  << " why=" << cf_reason_name(a.reason)
			  << (a.retry_after_ms != 0 ? " come-back" : "");
			break;
		case CF_ACT_BIND:
			s << "bind " << a.key
			  << " version=" << version_name(a.version);
			break;
		case CF_ACT_CRASH_MARK:
			s << "crash-mark " << a.key << " crashes=" << a.count;
			break;
		case CF_ACT_CREDIT_ASK:
		case CF_ACT_CREDIT_GIVE:
			s << (a.kind == CF_ACT_CREDIT_ASK ? "credit-ask "
							  : "credit-give ")
			  << a.server << " credits=" << a.count;
			break;
		case CF_ACT_STOP_VERSION:
			s << "stop " << version_name(a.version);
			break;
		case CF_ACT_WAKE:
			s << "wake " << (a.at_us - now) / 1000;
			break;
		}
		return s.str();
	}
};

std::string
run_script(const std::filesystem::path &path, std::string *expected)
{
	std::ifstream in(path);
	std::string text, got;
	Script script;

	while (std::getline(in, text)) {
		if (text.rfind("> ", 0) == 0) {
			*expected += text + "\n";
			continue;
		}
		*expected += text + "\n";
		got += text + "\n";
		if (text.empty() || text[0] == '#')
			continue;
		for (const std::string &out : script.run_line(text))
			got += "> " + out + "\n";
	}
	return got;
}

class RouterScript : public testing::TestWithParam<std::string>
{
};

/*
 * The expected actions follow each event as "> action" lines.  With
 * CF_SCRIPT_UPDATE set, the file is rewritten with the actual actions; review
 * them before committing.
 */
TEST_P(RouterScript, GivesTheExpectedActions)
{
	std::string expected;
	std::string got = run_script(GetParam(), &expected);

	if (getenv("CF_SCRIPT_UPDATE") != nullptr)
		std::ofstream(GetParam()) << got;
	EXPECT_EQ(got, expected) << GetParam();
}

std::vector<std::string>
scripts()
{
	std::vector<std::string> paths;

	for (const auto &e :
	    std::filesystem::directory_iterator("test/scripts/router"))
		if (e.path().extension() == ".txt")
			paths.push_back(e.path());
	std::sort(paths.begin(), paths.end());
	return paths;
}

INSTANTIATE_TEST_SUITE_P(Files, RouterScript, testing::ValuesIn(scripts()),
    [](const testing::TestParamInfo<std::string> &p) {
	    std::string name = std::filesystem::path(p.param).stem();

	    std::replace(name.begin(), name.end(), '-', '_');
	    return name;
    });

} // namespace
