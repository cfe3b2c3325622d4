#include "route/confidence.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum {
	BIN_WIDTH = CONFIDENCE_MAX / CONFIDENCE_BINS,
	CONFIDENCE_EVEN = 50 /* an answer that is good as often as not */
};

/* Confidence by which the odds of a good answer change by a factor of e. */
static const double odds_step = 9;
/* Limits of the probability; a model's opinion of itself is rough. */
static const double good_min = 0.02;
static const double good_max = 0.98;
/* Prior probability that the largest model's answer is good. */
static const double largest_good = 0.95;

/* Upper limits of the classes of prompts but the last, in tokens. */
static const uint32_t size_limits[CONFIDENCE_SIZES - 1] = {1500, 6000};

/* Answers after which the earlier ones count for a third. */
static const double answers_memory = 300;
static const double pairs_memory = 150;
/* Weights of the priors, in answers */
static const double answers_prior = 10;
static const double size_prior = 30;
static const double later_prior = 5;
static const double pairs_prior = 30;
/* Correlation of confidences that are followed in full */
static const double correlation_full = 0.4;

/* Returns the bin of a confidence. */
uint16_t
confidence_bin(int confidence)
{
	if (confidence < 0)
		return 0;
	return confidence < CONFIDENCE_MAX ? (uint16_t)(confidence / BIN_WIDTH)
					   : CONFIDENCE_BINS - 1;
}

static uint16_t
size_class(uint32_t prompt_tokens)
{
	uint16_t i = 0;

	while (i < CONFIDENCE_SIZES - 1 && prompt_tokens > size_limits[i])
		i++;
	return i;
}

static void
age_and_add(double bins[CONFIDENCE_BINS], uint16_t bin)
{
	for (int i = 0; i < CONFIDENCE_BINS; i++)
		bins[i] *= 1 - 1 / answers_memory;
	bins[bin]++;
}

/* Records the confidence in an answer to a request that began with a model. */
void
confidence_add_answer(struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, int confidence)
{
	uint16_t bin = confidence_bin(confidence);

	if (confidence < 0 || model >= ROUTE_MODELS_MAX)
		return;
	age_and_add(stats->all.bins[model], bin);
	age_and_add(stats->sizes[size_class(prompt_tokens)].bins[model], bin);
}

/* Returns the probability that goes with a confidence taken at its word. */
static double
good_at_its_word(double confidence)
{
	double good = 1 / (1 + exp((CONFIDENCE_EVEN - confidence) / odds_step));

	return fmin(good_max, fmax(good_min, good));
}

/*
 * Records the confidence of a model in its answer to a request for which a
 * smaller model had reported the confidence before.
 */
void
confidence_add_pair(
    struct confidence_stats *stats, int before, uint16_t model, int confidence)
{
	struct confidence_pairs *p = &stats->pairs;
	double keep = 1 - 1 / pairs_memory;
	uint16_t bin = confidence_bin(before);

	if (before < 0 || confidence < 0 || model >= ROUTE_MODELS_MAX)
		return;
	p->count = p->count * keep + 1;
	p->x = p->x * keep + before;
	p->y = p->y * keep + confidence;
	p->xx = p->xx * keep + (double)before * before;
	p->yy = p->yy * keep + (double)confidence * confidence;
	p->xy = p->xy * keep + (double)before * confidence;
	stats->later[model][bin].count =
	    stats->later[model][bin].count * keep + 1;
	stats->later[model][bin].good =
	    stats->later[model][bin].good * keep + good_at_its_word(confidence);
}

/*
 * Records the confidence in an answer that begins.  One that a request has
 * begun before, with the same model, is not counted again.  Returns whether it
 * was counted as an answer to a request that began with the model.
 */
bool
confidence_learn(struct confidence_stats *stats,
    struct confidence_course *course, uint16_t model, uint32_t prompt_tokens,
    int confidence)
{
	uint32_t bit = UINT32_C(1) << model;

	if ((course->learned & bit) != 0)
		return false;
	course->learned |= bit;
	if (course->before >= 0) {
		confidence_add_pair(stats, course->before, model, confidence);
		return false;
	}
	confidence_add_answer(stats, model, prompt_tokens, confidence);
	return true;
}

/* Returns a hash of a list of models, in its order; not 0. */
uint64_t
confidence_hash_models(const char *const *models, uint16_t count)
{
	uint64_t hash = count;

	for (uint16_t i = 0; i < count; i++)
		hash = XXH64(models[i], strlen(models[i]), hash);
	return hash != 0 ? hash : 1;
}

/*
 * Sets the list of models that the statistics are of, by its hash.  They are
 * kept by place in the list, so those of another list are dropped.
 */
void
confidence_set_models(struct confidence_stats *stats, uint64_t models)
{
	if (stats->models == models)
		return;
	memset(stats, 0, sizeof(*stats));
	stats->models = models;
}

/* Returns the confidence in the middle of a bin. */
int
confidence_of_bin(int bin)
{
	return bin * BIN_WIDTH + BIN_WIDTH / 2;
}

static double
sum_bins(const double bins[CONFIDENCE_BINS])
{
	double sum = 0;

	for (int i = 0; i < CONFIDENCE_BINS; i++)
		sum += bins[i];
	return sum;
}

/*
 * Fills in the share of each bin in a model's answers to prompts of such a
 * size.  The route's other answers are the prior of the size; its own prior is
 * an even spread.
 */
static void
fill_shares(const struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, double out[CONFIDENCE_BINS])
{
	const double *all = stats->all.bins[model];
	const double *size =
	    stats->sizes[size_class(prompt_tokens)].bins[model];
	double all_sum = sum_bins(all) + answers_prior;
	double size_sum = sum_bins(size) + size_prior;

	for (int i = 0; i < CONFIDENCE_BINS; i++) {
		double prior =
		    (all[i] + answers_prior / CONFIDENCE_BINS) / all_sum;

		out[i] = (size[i] + size_prior * prior) / size_sum;
	}
}

/*
 * Returns how far confidence is followed, 0 to 1: fully as long as nothing
 * speaks against it, not at all if that of a larger model says nothing about
 * that of a smaller one for the same request.  A constant confidence of the
 * larger model proves nothing.
 */
double
confidence_reliability(const struct confidence_stats *stats)
{
	const struct confidence_pairs *p = &stats->pairs;
	double vx = p->count * p->xx - p->x * p->x;
	double vy = p->count * p->yy - p->y * p->y;
	double even = p->count * p->count; /* a variance of one point */
	double seen;

	if (p->count < 2 || vx <= even || vy <= even)
		return 1;
	seen = (p->count * p->xy - p->x * p->y) / sqrt(vx * vy);
	seen = fmin(1, fmax(0, seen / correlation_full));
	return (pairs_prior + p->count * seen) / (pairs_prior + p->count);
}

/*
 * Fills in what is expected of a model's answers to prompts of such a size, by
 * the bin of their confidence.
 */
void
confidence_expect(const struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, struct confidence_expected *out)
{
	double reliability = confidence_reliability(stats);

	out->mean_good = 0;
	fill_shares(stats, model, prompt_tokens, out->share);
	for (int i = 0; i < CONFIDENCE_BINS; i++) {
		out->good[i] = good_at_its_word(confidence_of_bin(i));
		out->mean_good += out->share[i] * out->good[i];
	}
	for (int i = 0; i < CONFIDENCE_BINS; i++)
		out->good[i] = reliability * out->good[i] +
			       (1 - reliability) * out->mean_good;
}

/* Returns the probability that an answer of such a confidence is good. */
double
confidence_good(const struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, int confidence)
{
	double reliability = confidence_reliability(stats);
	struct confidence_expected expected;

	confidence_expect(stats, model, prompt_tokens, &expected);
	return reliability * good_at_its_word(confidence) +
	       (1 - reliability) * expected.mean_good;
}

/*
 * Returns the probability that a larger model's answer is good after one of
 * such a confidence, which is good with the probability given.  A model in
 * between is expected to be better in proportion to its place in the list until
 * its answers are known.
 */
double
confidence_good_later(const struct confidence_stats *stats,
    uint16_t model_count, uint16_t model, int before, double good_before)
{
	uint16_t bin = confidence_bin(before);
	double place = model_count > 1 ? (double)model / (model_count - 1) : 1;
	double prior =
	    good_before + place * place * (largest_good - good_before);
	double weight;

	/* Confidence that says nothing says nothing of later answers either. */
	weight = confidence_reliability(stats);
	return (weight * stats->later[model][bin].good + later_prior * prior) /
	       (weight * stats->later[model][bin].count + later_prior);
}
