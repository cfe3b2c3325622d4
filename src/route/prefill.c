#include "route/prefill.h"

/* Assumed before the first sample */
static const double default_us_per_token = 15;
/* Prompt length at which attention doubles the work per token */
static const double attention_tokens = 60000;
/* Time to a first event regardless of the prompt */
static const double first_event_overhead_us = 30000;
static const double faster_weight = 0.3;
static const double slower_weight = 0.05;

enum {
	TOKENS_MIN = 500, /* shorter prompts give no useful sample */
	US_PER_MS = 1000
};

/*
 * Returns the work of a prompt as the equivalent number of tokens of a short
 * prompt.
 */
static double
token_work(uint32_t tokens)
{
	return tokens * (1 + tokens / attention_tokens);
}

/* Returns the estimated processing time of a prompt in milliseconds. */
double
prefill_work_ms(const struct prefill_rate *rate, uint32_t tokens)
{
	double us =
	    rate->us_per_token > 0 ? rate->us_per_token : default_us_per_token;

	return us * token_work(tokens) / US_PER_MS;
}

/*
 * Adds the time to the first event of a request that had no backlog before it.
 */
void
prefill_add_sample(struct prefill_rate *rate, uint32_t tokens, int64_t first_us)
{
	double sample;

	if (tokens < TOKENS_MIN || first_us <= first_event_overhead_us)
		return;
	sample =
	    ((double)first_us - first_event_overhead_us) / token_work(tokens);
	if (rate->us_per_token == 0)
		rate->us_per_token = sample;
	else
		rate->us_per_token +=
		    (sample < rate->us_per_token ? faster_weight
						 : slower_weight) *
		    (sample - rate->us_per_token);
}
