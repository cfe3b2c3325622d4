#include "policy/sim.h"

#define NEVER 2.0 /* a part of the run past its end */

const struct scenario scenarios[] = {
    {"steady", 1, false, false, WORLD_VERSIONS, 0, NEVER, 0, false, false, 0.2,
	0},
    {"night", 1, true, false, WORLD_VERSIONS, 0, NEVER, 0, false, false, 0.2,
	0},
    {"released-drop-30", 1, false, false, WORLD_SMALL, 0.30, NEVER, 0, false,
	false, 0.2, 0},
    {"released-drop-10", 1, false, false, WORLD_SMALL, 0.10, NEVER, 0, false,
	false, 0.2, 0},
    {"released-drop-5", 1, false, false, WORLD_SMALL, 0.05, NEVER, 0, false,
	false, 0.2, 0},
    {"rolling-drop-30", 1, false, false, WORLD_NEW, 0.30, 0.1, 0, false, false,
	0.2, 0},
    {"rolling-drop-10", 1, false, false, WORLD_NEW, 0.10, 0.1, 0, false, false,
	0.2, 0},
    {"rolling-drop-5", 1, false, false, WORLD_NEW, 0.05, 0.1, 0, false, false,
	0.2, 0},
    {"daily-roll-out", 1, false, false, WORLD_VERSIONS, 0, 0.1, 1, false, false,
	0.2, 0},
    {"data-centre-out", 1, false, true, WORLD_VERSIONS, 0, NEVER, 0, true,
	false, 0.2, 0},
    {"cold-restarts", 1, false, true, WORLD_VERSIONS, 0, NEVER, 0, false, true,
	0.2, 0},
    {"load-1x", 2.2, false, true, WORLD_VERSIONS, 0, NEVER, 0, false, false,
	0.2, 0},
    {"load-2x", 4.4, false, true, WORLD_VERSIONS, 0, NEVER, 0, false, false,
	0.2, 0},
    {"crashing-request", 1, false, true, WORLD_VERSIONS, 0, NEVER, 0, false,
	false, 0.2, 0.005},
    {"reports-lag-5s", 1, false, true, WORLD_VERSIONS, 0, NEVER, 0, false,
	false, 5, 0},
};
const size_t scenario_count = sizeof(scenarios) / sizeof(scenarios[0]);
