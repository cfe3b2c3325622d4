#ifndef CF_TEST_ROUTER_WORLD_H
#define CF_TEST_ROUTER_WORLD_H

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/granter.h"
#include "router_cfg.h"

/*
 * Simulation of several routers of one data centre, one granter and their
 * backend servers, driven by random operations.  Each action is checked against
 * the router's invariants; the first violation is kept in `violation`.
 */
typedef std::array<uint8_t, 4> Op;

class RouterSimulation
{
      public:
	enum {
		ROUTERS = 3,
		SERVERS = 5,
		VERSIONS = 4,
		WORKSPACES = 3,
		SESSIONS = 6
	};

	std::string violation;

	RouterSimulation(uint32_t unsafe, bool skip_wait)
	    : skip_wait_(skip_wait)
	{
		struct cf_router_options o = {};

		o.max_servers = SERVERS;
		o.max_requests = 24;
		o.max_sessions = 64;
		o.unsafe = unsafe;
		for (uint16_t i = 0; i < ROUTERS; i++) {
			o.seed = i;
			o.instance = i;
			routers_.push_back({});
			routers_[i].router = cf_router_new(&o);
		}
		initial_config();
		restart_granter();
		now_ += GRANTER_LEASE_US;
		send_config();
		for (uint16_t s = 0; s < SERVERS; s++)
			announce(s);
	}

	~RouterSimulation()
	{
		for (auto &r : routers_)
			cf_router_free(r.router);
		granter_free(granter_);
	}

	RouterSimulation(const RouterSimulation &) = delete;

	void run(const std::vector<Op> &ops)
	{
		for (const Op &op : ops) {
			if (!violation.empty())
				return;
			now_ += 1 + op[3] % 8 * 1000;
			apply(op);
		}
		if (violation.empty())
			finish();
	}

      private:
	enum AttemptState {
		RUNNING,
		NOT_RUN,
		UNKNOWN, /* failed with an unknown outcome, or cancelled */
		RAN
	};

	struct Attempt {
		uint16_t server;
		uint64_t incarnation;
		AttemptState state;
	};

	struct Request {
		struct cf_request params;
		size_t router;
		bool open;
		bool caller_gone;
		bool claim_failed;
		std::vector<Attempt> attempts;
	};

	struct Server {
		uint64_t incarnation = 1;
		bool up = true;
		bool cold = false;
		bool leaving = false;
	};

	struct Router {
		struct cf_router *router;
		bool isolated = false;
		int64_t wake_us = INT64_MAX;
		std::deque<struct cf_action> to_granter;
		std::map<uint64_t, int> crashes; /* by fingerprint */
		std::array<Server, SERVERS> announced_states;
		const struct cfg *cfg = nullptr;
		std::array<int, 3> neighbour_room = {};
	};

	struct GranterReply {
		size_t router;
		uint16_t server;
		struct granter_lease lease;
		int64_t until_us;
	};

	TestCfg cfg_;
	const struct cfg *current_ = nullptr;
	std::vector<Router> routers_;
	std::map<uint32_t, Request> requests_;
	std::array<Server, SERVERS> servers_;
	std::map<std::pair<uint16_t, uint64_t>, uint16_t> bound_;
	struct granter *granter_ = nullptr;
	std::deque<GranterReply> from_granter_;
	bool skip_wait_;
	int64_t now_ = 1000000;
	uint32_t next_id_ = 1;

	void fail(const std::string &reason)
	{
		if (violation.empty())
			violation = reason;
	}

	void initial_config()
	{
		static const char *const names[] = {"a", "b", "c", "d"};

		for (const char *name : {"home", "away", "third"})
			TestCfg::find(cfg_.data_centres, name, true);
		TestCfg::find(cfg_.services, "filing", true);
		for (uint16_t v = 0; v < VERSIONS; v++) {
			TestCfg::find(cfg_.versions, names[v], true);
			cfg_.versions[v].cost_micro = v + 1;
			cfg_.versions[v].prior_permille =
			    (uint16_t)(900 + 10 * v);
			cfg_.versions[v].serve_isolated = v % 2 == 0;
			cfg_.versions[v].unrated_max = 1000;
		}
		for (uint16_t w = 0; w < WORKSPACES; w++) {
			TestCfg::find(cfg_.workspaces, names[w], true);
			auto &k = cfg_.workspaces[w];
			k.versions = w == 0 ? 15 : w == 1 ? 3 : 12;
			k.services = 1;
			k.data_centres = w == 0 ? 7 : 3;
			k.weight = (uint16_t)(w + 1);
			k.priority = w / 2;
			k.target_permille = 915;
			k.deadline_ms = 3000;
			k.retry_permille = 300;
		}
	}

	void send_config()
	{
		struct cf_event ev = {};

		current_ = cfg_.next();
		ev.kind = CF_EV_CONFIG;
		ev.u.config = current_;
		for (size_t r = 0; r < ROUTERS; r++) {
			routers_[r].cfg = current_;
			deliver(r, ev);
		}
	}

	void restart_granter()
	{
		struct granter_options o = {};

		free_granter();
		o.max_servers = SERVERS;
		o.max_instances = ROUTERS;
		o.now_us = now_;
		o.unsafe_skip_wait = skip_wait_;
		granter_ = granter_new(&o);
	}

	void free_granter()
	{
		if (granter_ != nullptr)
			granter_free(granter_);
	}

	uint16_t running_on(uint16_t server)
	{
		uint16_t n = 0;

		for (auto &q : requests_)
			for (auto &a : q.second.attempts)
				n += a.state == RUNNING && a.server == server &&
				     a.incarnation ==
					 servers_[server].incarnation;
		return n;
	}

	void announce(uint16_t s)
	{
		struct cf_event ev = {};
		struct cf_announce &a = ev.u.announce;

		if (!servers_[s].up)
			return;
		ev.kind = CF_EV_ANNOUNCE;
		a.server = s;
		a.incarnation = servers_[s].incarnation;
		a.versions = s == 4 ? 0 : 15 ^ (1u << s);
		a.services = s >= 3;
		a.warmth = servers_[s].cold ? CF_COLD : CF_WARM;
		a.slots = 4;
		a.cold_slots = 2;
		a.running = running_on(s);
		a.reported_us = now_;
		a.leaving = servers_[s].leaving;
		for (size_t r = 0; r < ROUTERS; r++) {
			routers_[r].announced_states[s] = servers_[s];
			deliver(r, ev);
		}
		a.running = running_on(s);
		granter_update_server(granter_, &a, now_);
	}

	/* Delivers an event to a router and executes the resulting actions. */
	void deliver(size_t r, const struct cf_event &ev)
	{
		struct cf_actions actions = {};

		if (now_ >= routers_[r].wake_us)
			routers_[r].wake_us = INT64_MAX;
		cf_router_step(routers_[r].router, now_, &ev, &actions);
		for (size_t i = 0; i < actions.count; i++)
			execute(r, actions.items[i]);
	}

	void execute(size_t r, const struct cf_action &a)
	{
		struct cf_event ev = {};

		switch (a.kind) {
		case CF_ACT_DISPATCH:
			check_dispatch(r, a);
			break;
		case CF_ACT_FORWARD:
			check_forward(r, a);
			break;
		case CF_ACT_CANCEL:
			requests_[a.request].attempts[a.attempt].state =
			    UNKNOWN;
			break;
		case CF_ACT_ANSWER:
		case CF_ACT_REFUSE:
			check_end(r, a);
			break;
		case CF_ACT_BIND:
			ev.kind = CF_EV_BIND;
			ev.u.bind.session = a.key;
			ev.u.bind.workspace = a.workspace;
			ev.u.bind.version = a.version;
			broadcast(r, ev);
			break;
		case CF_ACT_CRASH_MARK:
			ev.kind = CF_EV_CRASH_MARK;
			ev.u.crash_mark.fingerprint = a.key;
			ev.u.crash_mark.crashes = (uint8_t)a.count;
			for (size_t o = 0; o < ROUTERS; o++)
				if (o != r &&
				    routers_[o].crashes[a.key] < a.count)
					routers_[o].crashes[a.key] = a.count;
			broadcast(r, ev);
			break;
		case CF_ACT_CREDIT_ASK:
		case CF_ACT_CREDIT_GIVE:
			routers_[r].to_granter.push_back(a);
			routers_[r].to_granter.back().at_us = now_;
			break;
		case CF_ACT_WAKE:
			routers_[r].wake_us =
			    std::min(routers_[r].wake_us, a.at_us);
			break;
		default:
			break;
		}
	}

	void broadcast(size_t r, const struct cf_event &ev)
	{
		for (size_t o = 0; o < ROUTERS; o++)
			if (o != r)
				deliver(o, ev);
	}

	void check_dispatch(size_t r, const struct cf_action &a)
	{
		Request &q = requests_[a.request];
		const Server &s = routers_[r].announced_states[a.server];

		if (!q.open)
			fail("dispatch after the end");
		for (const Attempt &t : q.attempts)
			if (q.params.once && t.state != NOT_RUN)
				fail("once: second run");
		if (q.params.kind == CF_CHAT)
			check_version(r, q, a.version);
		if (routers_[r].cfg->data_centres[0].out)
			fail("data centre out");
		if (s.leaving || !s.up)
			fail("leaving server");
		if (routers_[r].crashes[q.params.fingerprint] >= 2)
			fail("crash mark");
		q.attempts.push_back({a.server, s.incarnation, RUNNING});
		if (s.cold && running_on(a.server) > 2)
			fail("cold server");
	}

	void check_forward(size_t r, const struct cf_action &a)
	{
		Request &q = requests_[a.request];
		const struct cfg *current = routers_[r].cfg;
		uint16_t dc = a.data_centre;

		if (!q.open)
			fail("forward after the end");
		if (q.params.forwarded)
			fail("forwarded twice");
		for (const Attempt &t : q.attempts)
			if (q.params.once && t.state != NOT_RUN)
				fail("once: second run");
		if (current->data_centres[dc].out ||
		    !(current->workspaces[q.params.workspace].data_centres >>
			    dc &
			1))
			fail("forwarded where it may not run");
		if (routers_[r].crashes[q.params.fingerprint] >= 2)
			fail("crash mark");
		if (q.params.kind == CF_CHAT)
			check_session(r, q, a.version, dc);
		if (routers_[r].neighbour_room[dc]-- <= 0)
			fail("neighbour beyond its room");
		q.attempts.push_back({CF_NO_SERVER, 0, RUNNING});
	}

	/* Another data centre reports its spare capacity to one router. */
	void report_neighbour(const Op &op)
	{
		struct cf_event ev = {};
		size_t r = op[1] % ROUTERS;
		uint16_t dc = 1 + op[1] / ROUTERS % 2;
		bool cut_off = op[2] % 8 == 0;

		ev.kind = CF_EV_NEIGHBOUR;
		ev.u.neighbour.data_centre = dc;
		ev.u.neighbour.spare_slots = op[2] % 4;
		ev.u.neighbour.versions = 15;
		ev.u.neighbour.services = 1;
		ev.u.neighbour.cut_off = cut_off;
		routers_[r].neighbour_room[dc] = cut_off ? 0 : op[2] % 4;
		deliver(r, ev);
	}

	void check_version(size_t r, const Request &q, uint16_t version)
	{
		const struct cfg *current = routers_[r].cfg;

		if (!cfg_version_allowed(
			current, q.params.workspace, version, 0))
			fail(current->versions[version].state == CFG_WITHDRAWN
				 ? "withdrawn version"
				 : "version not allowed");
		if (routers_[r].isolated &&
		    !current->versions[version].serve_isolated)
			fail("isolated");
		check_session(r, q, version, 0);
	}

	/* A session may move only if its version may no longer run. */
	void check_session(
	    size_t r, const Request &q, uint16_t version, uint16_t dc)
	{
		const auto key =
		    std::make_pair(q.params.workspace, q.params.session);
		const struct cfg *current = routers_[r].cfg;
		auto it = bound_.find(key);

		if (q.params.session == 0)
			return;
		if (it != bound_.end() && it->second != version &&
		    cfg_version_allowed(
			current, q.params.workspace, it->second, dc) &&
		    (!routers_[r].isolated ||
			current->versions[it->second].serve_isolated))
			fail("session moved");
		bound_[key] = version;
	}

	void check_end(size_t r, const struct cf_action &a)
	{
		Request &q = requests_[a.request];
		bool ran = false;

		if (!q.open || q.router != r)
			fail("ended twice");
		q.open = false;
		if (a.kind == CF_ACT_ANSWER) {
			if (q.attempts[a.attempt].state != RAN)
				fail("answer of an attempt that is not whole");
			return;
		}
		for (const Attempt &t : q.attempts)
			ran = ran || t.state != NOT_RUN;
		if (a.run_state == ERR_NOT_RUN && ran)
			fail("not_run is untrue");
		if (a.run_state != ERR_NOT_RUN && !ran && !q.claim_failed)
			fail("not_run is withheld");
	}

	void apply(const Op &op)
	{
		switch (op[0] % 16) {
		case 0:
		case 1:
		case 2:
		case 3:
			request(op);
			break;
		case 4:
		case 5:
			report_attempt(op, true);
			break;
		case 6:
			report_attempt(op, false);
			break;
		case 7:
			crash_server(op[1] % SERVERS);
			break;
		case 8:
			change_server(op);
			break;
		case 9:
			change_config(op);
			break;
		case 10:
			caller_gone(op);
			break;
		case 11:
			if (op[3] % 2 == 0)
				change_isolation(op);
			else
				report_neighbour(op);
			break;
		case 12:
			advance(op[1] * 20000);
			break;
		case 13:
			granter_handle_message(op[1] % ROUTERS);
			break;
		case 14:
			granter_deliver_reply();
			break;
		case 15:
			if (op[1] % 4 == 0) {
				restart_granter();
				for (uint16_t s = 0; s < SERVERS; s++)
					announce(s);
			} else {
				announce(op[1] % SERVERS);
			}
			break;
		}
	}

	void request(const Op &op)
	{
		struct cf_event ev = {};
		struct cf_request &q = ev.u.request;
		size_t r = op[1] % ROUTERS;

		ev.kind = CF_EV_REQUEST;
		q.id = next_id_++;
		q.kind = op[2] % 4 == 0 ? CF_SERVICE : CF_CHAT;
		q.workspace = op[2] / 4 % WORKSPACES;
		q.model = CFG_NONE;
		q.version = CFG_NONE;
		q.once = q.kind == CF_SERVICE && op[2] % 8 == 0;
		q.streaming = op[2] % 16 > 11;
		q.forwarded = !q.once && op[2] % 16 == 9;
		if (q.kind == CF_CHAT && op[1] % 2 == 0)
			q.session = 1 + op[1] / 2 % SESSIONS;
		q.fingerprint = 1 + op[3] % 7;
		requests_[q.id] = {q, r, true, false, false, {}};
		deliver(r, ev);
		if (!q.once || !requests_[q.id].open)
			return;
		memset(&ev, 0, sizeof(ev));
		ev.kind = CF_EV_CLAIMED;
		ev.u.claimed.request = next_id_ - 1;
		if (op[3] % 5 == 0)
			ev.u.claimed.error = ERR_DUPLICATE;
		requests_[next_id_ - 1].claim_failed = op[3] % 5 == 0;
		deliver(r, ev);
	}

	/*
	 * Finds the n-th running attempt, modulo their number.  Returns false
	 * if none runs.
	 */
	bool pick_running(unsigned n, uint32_t *id, uint8_t *number)
	{
		std::vector<std::pair<uint32_t, uint8_t>> all;

		for (auto &q : requests_)
			for (size_t i = 0; i < q.second.attempts.size(); i++)
				if (q.second.attempts[i].state == RUNNING)
					all.push_back({q.first, (uint8_t)i});
		if (all.empty())
			return false;
		*id = all[n % all.size()].first;
		*number = all[n % all.size()].second;
		return true;
	}

	void end_attempt(uint32_t id, uint8_t number, AttemptState state,
	    const struct cf_event &ev)
	{
		requests_[id].attempts[number].state = state;
		deliver(requests_[id].router, ev);
	}

	void report_attempt(const Op &op, bool whole)
	{
		struct cf_event ev = {};
		struct cf_attempt &t = ev.u.attempt;
		uint64_t fingerprint;
		size_t r;

		if (!pick_running(op[1], &t.request, &t.attempt))
			return;
		r = requests_[t.request].router;
		fingerprint = requests_[t.request].params.fingerprint;
		t.score_permille = op[2] % 4 == 0 ? 100 : 0xffff;
		t.defective = op[2] % 16 == 1;
		if (op[2] % 3 == 0) {
			ev.kind = CF_EV_FIRST_TOKEN;
			deliver(r, ev);
		}
		if (whole) {
			ev.kind = CF_EV_DONE;
			if (routers_[r].crashes[fingerprint] == 1)
				routers_[r].crashes[fingerprint] = 0;
			end_attempt(t.request, t.attempt, RAN, ev);
			return;
		}
		ev.kind = CF_EV_FAILED;
		t.error = ERR_UPSTREAM;
		t.run_state = op[2] % 2 ? ERR_NOT_RUN : ERR_MAY_HAVE_RUN;
		end_attempt(
		    t.request, t.attempt, op[2] % 2 ? NOT_RUN : UNKNOWN, ev);
	}

	/* A server crashes and the attempts running on it fail. */
	void crash_server(uint16_t server)
	{
		struct cf_event ev = {};

		if (!servers_[server].up)
			return;
		servers_[server].up = false;
		ev.kind = CF_EV_SERVER_GONE;
		ev.u.gone.server = server;
		ev.u.gone.crashed = true;
		for (size_t r = 0; r < ROUTERS; r++) {
			count_crash(r, server);
			routers_[r].announced_states[server].up = false;
			deliver(r, ev);
		}
		fail_attempts_on(server, true);
	}

	/* Counts the crash once for each request that a router ran there. */
	void count_crash(size_t r, uint16_t server)
	{
		std::set<uint64_t> running_there;

		for (auto &q : requests_)
			for (auto &t : q.second.attempts)
				if (t.state == RUNNING && t.server == server &&
				    q.second.router == r)
					running_there.insert(
					    q.second.params.fingerprint);
		for (uint64_t fingerprint : running_there)
			routers_[r].crashes[fingerprint]++;
	}

	void fail_attempts_on(uint16_t server, bool crashed)
	{
		struct cf_event ev = {};
		struct cf_attempt &t = ev.u.attempt;
		std::vector<std::pair<uint32_t, uint8_t>> all;

		for (auto &q : requests_)
			for (size_t i = 0; i < q.second.attempts.size(); i++)
				if (q.second.attempts[i].state == RUNNING &&
				    q.second.attempts[i].server == server)
					all.push_back({q.first, (uint8_t)i});
		for (auto &one : all) {
			if (requests_[one.first].attempts[one.second].state !=
			    RUNNING)
				continue;
			ev.kind = CF_EV_FAILED;
			t.request = one.first;
			t.attempt = one.second;
			t.error = ERR_UPSTREAM_CUT;
			t.run_state = ERR_MAY_HAVE_RUN;
			t.server_crashed = crashed;
			end_attempt(one.first, one.second, UNKNOWN, ev);
		}
	}

	void change_server(const Op &op)
	{
		Server &s = servers_[op[1] % SERVERS];
		uint16_t server = op[1] % SERVERS;

		switch (op[2] % 5) {
		case 0: /* restarts cold */
			if (s.up)
				crash_server(server);
			s.up = true;
			s.incarnation++;
			s.cold = true;
			s.leaving = false;
			break;
		case 1:
			s.cold = false;
			break;
		case 2:
			s.leaving = !s.leaving;
			break;
		default: /* turns cold in the same incarnation */
			s.cold = true;
			break;
		}
		announce(server);
	}

	void change_config(const Op &op)
	{
		auto &v = cfg_.versions[op[1] % VERSIONS];
		auto &w = cfg_.workspaces[op[1] % WORKSPACES];

		switch (op[2] % 6) {
		case 0:
		case 1:
			v.state = v.state == CFG_WITHDRAWN ? CFG_RELEASED
							   : CFG_WITHDRAWN;
			break;
		case 2:
			v.state = CFG_ROLLING;
			v.stage_permille = 300;
			break;
		case 3:
		case 4:
			w.versions ^= UINT64_C(1) << (op[3] % VERSIONS);
			break;
		case 5:
			cfg_.data_centres[op[3] % 3].out =
			    !cfg_.data_centres[op[3] % 3].out;
			break;
		}
		send_config();
	}

	void caller_gone(const Op &op)
	{
		struct cf_event ev = {};
		uint32_t id = next_id_ - 1 - op[1] % 16;
		auto it = requests_.find(id);

		if (it == requests_.end() || !it->second.open ||
		    it->second.caller_gone)
			return;
		Request &q = it->second;
		bool running = false;
		for (const Attempt &t : q.attempts)
			running = running || t.state == RUNNING;
		ev.kind = CF_EV_CALLER_GONE;
		ev.u.caller_gone.request = id;
		q.caller_gone = true;
		deliver(q.router, ev);
		if (!q.params.once || !running)
			q.open = false;
	}

	void change_isolation(const Op &op)
	{
		struct cf_event ev = {};
		size_t r = op[1] % ROUTERS;

		routers_[r].isolated = op[2] % 4 == 0;
		ev.kind = CF_EV_ISOLATED;
		ev.u.isolated = routers_[r].isolated;
		deliver(r, ev);
	}

	/*
	 * Advances the time and delivers the announcements and wakes that fall
	 * due.
	 */
	void advance(int64_t us)
	{
		struct cf_event ev = {};
		int64_t end = now_ + us;

		ev.kind = CF_EV_WAKE;
		while (now_ < end && violation.empty()) {
			now_ = std::min(end, now_ + 500000);
			for (uint16_t s = 0; s < SERVERS; s++)
				announce(s);
			for (size_t r = 0; r < ROUTERS; r++)
				for (int i = 0;
				     i < 20 && routers_[r].wake_us <= now_; i++)
					deliver(r, ev);
		}
	}

	void granter_handle_message(size_t r)
	{
		struct cf_action a;
		GranterReply answer = {};

		if (routers_[r].to_granter.empty())
			return;
		a = routers_[r].to_granter.front();
		routers_[r].to_granter.pop_front();
		if (a.kind == CF_ACT_CREDIT_GIVE) {
			granter_return_credits(
			    granter_, (uint16_t)r, a.server, a.count, now_);
			return;
		}
		answer.router = r;
		answer.server = a.server;
		answer.lease.incarnation = a.key;
		granter_lease_credits(granter_, (uint16_t)r, a.server, a.key,
		    a.count, now_, &answer.lease);
		answer.until_us = a.at_us + GRANTER_LEASE_US;
		from_granter_.push_back(answer);
	}

	void granter_deliver_reply()
	{
		struct cf_event ev = {};

		if (from_granter_.empty())
			return;
		GranterReply a = from_granter_.front();
		from_granter_.pop_front();
		ev.kind = CF_EV_CREDIT;
		ev.u.credit.server = a.server;
		ev.u.credit.incarnation = a.lease.incarnation;
		ev.u.credit.credits = a.lease.credits;
		ev.u.credit.until_us = a.until_us;
		deliver(a.router, ev);
	}

	/*
	 * Fails all attempts and advances the time; every request must then
	 * have ended.
	 */
	void finish()
	{
		for (uint16_t s = 0; s < SERVERS; s++)
			servers_[s].up = false;
		for (int i = 0; i < 20; i++) {
			for (uint16_t s = 0; s < SERVERS; s++)
				fail_attempts_on(s, false);
			fail_attempts_on(CF_NO_SERVER, false);
			advance(500000);
		}
		for (auto &q : requests_)
			if (q.second.open)
				fail("request never ended");
		for (auto &r : routers_)
			if (violation.empty() && cf_router_open(r.router) != 0)
				fail("request left open");
	}
};

#endif
