#ifndef CF_TEST_ROUTER_CFG_H
#define CF_TEST_ROUTER_CFG_H

#include <cstring>
#include <deque>
#include <string>
#include <vector>

#include "celeryford.h"

/* A configuration that tests change between revisions. */
struct TestCfg {
	std::vector<struct cfg_data_centre> data_centres;
	std::vector<struct cfg_model> models;
	std::vector<struct cfg_version> versions;
	std::vector<struct cfg_service> services;
	std::vector<struct cfg_workspace> workspaces;
	uint64_t revision = 0;
	std::deque<TestCfg> past; /* revisions handed out, immutable */
	struct cfg cfg = {};

	template <typename T>
	static uint16_t find(
	    std::vector<T> &rows, const std::string &name, bool add)
	{
		for (size_t i = 0; i < rows.size(); i++)
			if (name == rows[i].name)
				return (uint16_t)i;
		if (!add)
			return CFG_NONE;
		T row = {};
		strncpy(row.name, name.c_str(), sizeof(row.name) - 1);
		row.present = true;
		rows.push_back(row);
		return (uint16_t)(rows.size() - 1);
	}

	/* Returns the current contents as the next revision. */
	const struct cfg *next()
	{
		TestCfg copy;

		copy.data_centres = data_centres;
		copy.models = models;
		copy.versions = versions;
		copy.services = services;
		copy.workspaces = workspaces;
		past.push_back(copy);
		return past.back().compile(++revision);
	}

      private:
	const struct cfg *compile(uint64_t number)
	{
		cfg.revision = number;
		cfg.data_centre_count = (uint16_t)data_centres.size();
		cfg.model_count = (uint16_t)models.size();
		cfg.version_count = (uint16_t)versions.size();
		cfg.service_count = (uint16_t)services.size();
		cfg.workspace_count = (uint16_t)workspaces.size();
		cfg.data_centres = data_centres.data();
		cfg.models = models.data();
		cfg.versions = versions.data();
		cfg.services = services.data();
		cfg.workspaces = workspaces.data();
		return &cfg;
	}
};

#endif
