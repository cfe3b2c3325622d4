#ifndef CF_ROUTE_CONFIDENCE_H
#define CF_ROUTE_CONFIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the models' confidence in their own answers, 0 to 100, has been worth on
 * one route.  It is learned from the answers' heads alone:
 *
 * - how confident each model is, by the size of the prompt,
 * - how confident a larger model was in its answer to a request whose first
 *   answer was discarded,
 * - whether the two confidences rise and fall together.  Confidence that says
 *   nothing about the request does not, and is not followed.
 *
 * Counts are aged by later answers and start from priors.  No I/O.
 */
enum {
	CONFIDENCE_MAX = 100,
	CONFIDENCE_BINS = 10,
	CONFIDENCE_SIZES = 3 /* classes of prompts */
};

struct confidence_counts {
	double bins[ROUTE_MODELS_MAX][CONFIDENCE_BINS];
};

/* Sums over pairs of a smaller and a larger model's confidence. */
struct confidence_pairs {
	double count;
	double x, y, xx, yy, xy;
};

struct confidence_stats {
	uint64_t models; /* hash of the list that they are of; 0: none yet */
	struct confidence_counts all;
	struct confidence_counts sizes[CONFIDENCE_SIZES];
	/* Of larger models' answers, by the confidence in the one before */
	struct {
		double count;
		double good; /* sum of the probabilities that they are good */
	} later[ROUTE_MODELS_MAX][CONFIDENCE_BINS];
	struct confidence_pairs pairs;
};

/* What one request has taught; before starts at -1, the rest at zero. */
struct confidence_course {
	int before; /* in an answer that was discarded; -1: none */
	uint32_t learned; /* bit for each model whose answer has been counted */
};

/* What is expected of one model's answers, by the bin of their confidence. */
struct confidence_expected {
	double share[CONFIDENCE_BINS];
	double good[CONFIDENCE_BINS]; /* probability */
	double mean_good;
};

void confidence_add_answer(struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, int confidence);
void confidence_add_pair(
    struct confidence_stats *stats, int before, uint16_t model, int confidence);

bool confidence_learn(struct confidence_stats *stats,
    struct confidence_course *course, uint16_t model, uint32_t prompt_tokens,
    int confidence);
uint64_t confidence_hash_models(const char *const *models, uint16_t count);
void confidence_set_models(struct confidence_stats *stats, uint64_t models);
uint16_t confidence_bin(int confidence);
int confidence_of_bin(int bin);
void confidence_expect(const struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, struct confidence_expected *out);
double confidence_reliability(const struct confidence_stats *stats);
double confidence_good(const struct confidence_stats *stats, uint16_t model,
    uint32_t prompt_tokens, int confidence);
double confidence_good_later(const struct confidence_stats *stats,
    uint16_t model_count, uint16_t model, int before, double good_before);

#ifdef __cplusplus
}
#endif

#endif
