#include "route/pace.h"

static const double first_guess_us = 15; /* a token, before any sample */
static const double long_tokens = 60000; /* attention doubles the work there */
static const double base_us = 30000; /* of a first event, whatever its prompt */
static const double faster_weight = 0.3;
static const double slower_weight = 0.05;

enum {
	TOKENS_MIN = 500, /* shorter prompts say too little */
	US_PER_MS = 1000
};

static double
effort(uint32_t tokens)
{
	return tokens * (1 + tokens / long_tokens);
}

/* Returns the time that a prompt of so many tokens takes to be read. */
double
pc_work_ms(const struct pc *pc, uint32_t tokens)
{
	double us = pc->us_per_token > 0 ? pc->us_per_token : first_guess_us;

	return us * effort(tokens) / US_PER_MS;
}

/* Takes the time to the first event of a request that had no backlog. */
void
pc_sample(struct pc *pc, uint32_t tokens, int64_t first_us)
{
	double sample;

	if (tokens < TOKENS_MIN || first_us <= base_us)
		return;
	sample = ((double)first_us - base_us) / effort(tokens);
	if (pc->us_per_token == 0)
		pc->us_per_token = sample;
	else
		pc->us_per_token +=
		    (sample < pc->us_per_token ? faster_weight
					       : slower_weight) *
		    (sample - pc->us_per_token);
}
