#include "state/claim.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

enum {
	KEY_TEXT_MAX = 255,
	UUID_CHARS = 36,
	ULID_CHARS = 26,
	UNIX_DIGITS = 10 /* of Unix seconds, until the year 2286 */
};

/* Returns the Unix time of a version 7 UUID in milliseconds, or -1. */
static int64_t
uuid7_ms(const char *text, size_t len)
{
	int64_t ms;
	size_t i;

	if (len != UUID_CHARS || text[14] != '7')
		return -1;
	ms = 0;
	for (i = 0; i < len; i++) {
		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (text[i] != '-')
				return -1;
			continue;
		}
		if (!isxdigit((unsigned char)text[i]))
			return -1;
		if (i < 13)
			ms = ms * 16 + (isdigit((unsigned char)text[i])
					       ? text[i] - '0'
					       : (text[i] | 32) - 'a' + 10);
	}
	return ms;
}

/* Returns the Unix time of a ULID (Crockford's base 32) in ms, or -1. */
static int64_t
ulid_ms(const char *text, size_t len)
{
	static const char digits[] = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";
	const char *digit;
	int64_t ms;
	size_t i;

	if (len != ULID_CHARS || text[0] > '7')
		return -1;
	ms = 0;
	for (i = 0; i < len; i++) {
		digit = strchr(digits, toupper((unsigned char)text[i]));
		if (digit == NULL || *digit == '\0')
			return -1;
		if (i < 10)
			ms = ms * 32 + (digit - digits);
	}
	return ms;
}

/* Returns the time of "<ten digits of Unix seconds>-<any>" in ms, or -1. */
static int64_t
prefix_ms(const char *text, size_t len)
{
	int64_t seconds;
	size_t i;

	if (len <= UNIX_DIGITS || text[UNIX_DIGITS] != '-')
		return -1;
	seconds = 0;
	for (i = 0; i < UNIX_DIGITS; i++) {
		if (!isdigit((unsigned char)text[i]))
			return -1;
		seconds = seconds * 10 + (text[i] - '0');
	}
	return seconds * 1000;
}

/*
 * Makes the key of a request from the text that the caller sent.  The birth
 * time is read from a version 7 UUID, a ULID, or a prefix of ten digits of
 * Unix seconds and '-'; any other text is an undated key.  Returns 0, or
 * ERR_MALFORMED for an empty or overlong text.
 */
int
claim_key_parse(uint32_t workspace, const char *text, struct claim_key *key)
{
	size_t len;
	int64_t ms;

	len = strlen(text);
	if (len == 0 || len > KEY_TEXT_MAX)
		return ERR_MALFORMED;
	memset(key, 0, sizeof(*key));
	key->workspace = workspace;
	ms = uuid7_ms(text, len);
	if (ms < 0)
		ms = ulid_ms(text, len);
	if (ms < 0)
		ms = prefix_ms(text, len);
	if (ms >= 0) {
		if (ms / 1000 / CLAIM_BIRTH_BUCKET_S > UINT32_MAX - 1)
			return ERR_MALFORMED;
		key->born = (uint32_t)(ms / 1000 / CLAIM_BIRTH_BUCKET_S);
		if (key->born == 0)
			key->born = 1;
	}
	crypto_generichash(key->hash, sizeof(key->hash),
	    (const unsigned char *)text, len, NULL, 0);
	return 0;
}

bool
claim_key_equal(const struct claim_key *a, const struct claim_key *b)
{
	return a->workspace == b->workspace && a->born == b->born &&
	       memcmp(a->hash, b->hash, sizeof(a->hash)) == 0;
}

/* Compares ballots.  Returns a number below, equal to or above 0. */
int
claim_ballot_compare(const struct claim_ballot *a, const struct claim_ballot *b)
{
	if (a->round != b->round)
		return a->round < b->round ? -1 : 1;
	if (a->instance != b->instance)
		return a->instance < b->instance ? -1 : 1;
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	return 0;
}

bool
claim_ballot_is_zero(const struct claim_ballot *ballot)
{
	return ballot->round == 0;
}

/*
 * Returns whether a was accepted later than b.  Phases of one ballot are
 * accepted in the order of enum claim_phase.
 */
bool
claim_entry_is_newer(const struct claim_entry *a, const struct claim_entry *b)
{
	int c;

	c = claim_ballot_compare(&a->accepted, &b->accepted);
	return c > 0 || (c == 0 && a->phase > b->phase);
}

/*
 * Merges from into to: the higher promise and, independently of it, the phase
 * that was accepted later.  Returns whether anything changed.
 */
bool
claim_entry_merge(struct claim_entry *to, const struct claim_entry *from)
{
	struct claim_entry old;
	bool changed;
	int c;

	old = *to;
	changed = claim_entry_is_newer(from, to);
	if (changed) {
		*to = *from;
		to->promised = old.promised;
		to->held = old.held;
	}
	c = claim_ballot_compare(&from->promised, &to->promised);
	if (c > 0) {
		to->promised = from->promised;
		to->held = from->held;
		changed = true;
	} else if (c == 0 && to->held && !from->held) {
		to->held = false;
		changed = true;
	}
	return changed;
}

/* Returns the name of a phase that operators see. */
const char *
claim_phase_name(enum claim_phase phase)
{
	static const char *const names[CLAIM_PHASE_COUNT] = {"free", "marked",
	    "halted", "released", "done", "resolved_ran", "resolved_not_run"};

	return phase < CLAIM_PHASE_COUNT ? names[phase] : "unknown";
}
