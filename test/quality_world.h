#ifndef CF_TEST_QUALITY_WORLD_H
#define CF_TEST_QUALITY_WORLD_H

#include <cstring>
#include <string>
#include <vector>

#include "core/quality.h"
#include "core/rollout.h"

/* A configuration that a test builds up, with its estimates and roll-outs. */
struct quality_world {
	std::vector<cfg_version> versions;
	std::vector<cfg_workspace> workspaces;
	struct cfg cfg = {};
	struct qual *qual = nullptr;
	struct rollout *rollout = nullptr;

	void add_version(const std::string &name, uint32_t cost, uint16_t prior,
	    cfg_version_state state = CFG_RELEASED, uint16_t stage = 0,
	    uint16_t cap = 0)
	{
		cfg_version v = {};

		strncpy(v.name, name.c_str(), sizeof(v.name) - 1);
		v.present = true;
		v.cost_micro = cost;
		v.prior_permille = prior;
		v.state = state;
		v.stage_permille = stage;
		v.unrated_max = cap;
		versions.push_back(v);
	}

	void add_workspace(const std::string &name, uint16_t target)
	{
		cfg_workspace w = {};

		strncpy(w.name, name.c_str(), sizeof(w.name) - 1);
		w.present = true;
		w.versions = ~UINT64_C(0);
		w.target_permille = target;
		workspaces.push_back(w);
	}

	void configure()
	{
		cfg.revision++;
		cfg.version_count = (uint16_t)versions.size();
		cfg.versions = versions.data();
		cfg.workspace_count = (uint16_t)workspaces.size();
		cfg.workspaces = workspaces.data();
		qual_configure(qual, &cfg);
		rollout_configure(rollout, &cfg);
	}

	void start(qual_options q = {}, rollout_options r = {})
	{
		qual = qual_new_with(&q);
		rollout = rollout_new_with(&r);
		configure();
	}

	uint16_t version(const std::string &name) const
	{
		for (size_t i = 0; i < versions.size(); i++)
			if (name == versions[i].name)
				return (uint16_t)i;
		return CFG_NONE;
	}

	uint16_t workspace(const std::string &name) const
	{
		for (size_t i = 0; i < workspaces.size(); i++)
			if (name == workspaces[i].name)
				return (uint16_t)i;
		return CFG_NONE;
	}

	uint64_t all() const
	{
		return (UINT64_C(1) << versions.size()) - 1;
	}

	~quality_world()
	{
		qual_free(qual);
		rollout_free(rollout);
	}
};

#endif
