#include <argp.h>
#include <string.h>

#include "slopes.h"

/* Runs the selected sweeps and writes their results. */
static const struct {
	const char *name;
	void (*run)(void);
} roles[] = {
    {"entry", slopes_entry},
    {"member", slopes_member},
    {"config", slopes_config},
    {"replica", slopes_replica},
    {"claims", slopes_claims},
    {"bills", slopes_bills},
    {"cut", slopes_bills_disconnected},
    {"granter", slopes_granter},
    {"feed", slopes_feed},
};

struct flags {
	const char *role;
	const char *json;
	const char *plot;
};

static const struct argp_option options[] = {
    {"role", 'r', "NAME", 0,
	"only entry, member, config, replica, claims, bills, cut, granter or feed",
	0},
    {"json", 'j', "FILE", 0, "write the table as JSON", 0},
    {"plot", 'p', "DIR", 0, "write data and a gnuplot script", 0},
    {0},
};

/* Stores one flag; the callback of argp. */
static error_t
parse_flag(int key, char *arg, struct argp_state *state)
{
	struct flags *flags = state->input;

	switch (key) {
	case 'r':
		flags->role = arg;
		return 0;
	case 'j':
		flags->json = arg;
		return 0;
	case 'p':
		flags->plot = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_flag, NULL,
	    "Measures what each role costs against the size that drives it.",
	    NULL, NULL, NULL};
	struct flags flags = {0};
	FILE *file;

	argp_parse(&argp, argc, argv, 0, NULL, &flags);
	for (size_t i = 0; i < sizeof(roles) / sizeof(roles[0]); i++) {
		if (flags.role == NULL ||
		    strcmp(flags.role, roles[i].name) == 0)
			roles[i].run();
	}
	sweep_print(stdout);
	if (flags.json != NULL) {
		file = fopen(flags.json, "w");
		if (file == NULL) {
			perror(flags.json);
			return 1;
		}
		sweep_write_json(file);
		fclose(file);
	}
	if (flags.plot != NULL && sweep_write_plot(flags.plot) != 0) {
		perror(flags.plot);
		return 1;
	}
	return 0;
}
