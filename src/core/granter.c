#include "core/granter.h"

/* By then an announcement has reached all instances, and their work it. */
#define GR_TOLD_US INT64_C(200000)

struct gr_hold {
	uint16_t credits;
	int64_t until_us;
};

struct gr_server {
	bool known;
	uint64_t incarnation;
	enum cf_warmth warmth;
	uint16_t cold_slots;
	uint16_t unleased; /* may run there without a live lease */
	int64_t lapsed_us; /* when the last of those lost its lease */
	int64_t reported_us;
};

struct gr {
	struct gr_options options;
	const struct alloc *alloc;
	struct gr_server *servers;
	struct gr_hold *holds; /* a row of instances for each server */
};

/* Returns a granter that gives nothing until earlier leases have ended. */
struct gr *
gr_new(const struct gr_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct gr *gr = alloc_zero(alloc, 1, sizeof(*gr));

	gr->options = *options;
	gr->alloc = alloc;
	if (gr->options.lease_us == 0)
		gr->options.lease_us = GR_LEASE_US;
	gr->servers =
	    alloc_zero(alloc, options->max_servers, sizeof(*gr->servers));
	gr->holds = alloc_zero(alloc,
	    (size_t)options->max_servers * options->max_instances,
	    sizeof(*gr->holds));
	return gr;
}

void
gr_free(struct gr *gr)
{
	if (gr == NULL)
		return;
	alloc_free(gr->alloc, gr->servers);
	alloc_free(gr->alloc, gr->holds);
	alloc_free(gr->alloc, gr);
}

static struct gr_hold *
gr_row(const struct gr *gr, uint16_t server)
{
	return &gr->holds[(size_t)server * gr->options.max_instances];
}

/* Moves credits whose lease has ended to the unleased count. */
static void
gr_lapse(struct gr *gr, uint16_t server, int64_t now_us)
{
	struct gr_server *s = &gr->servers[server];
	struct gr_hold *row = gr_row(gr, server);
	uint32_t unleased = s->unleased;
	uint16_t i;

	for (i = 0; i < gr->options.max_instances; i++) {
		if (row[i].credits == 0 || row[i].until_us > now_us)
			continue;
		unleased += row[i].credits;
		row[i].credits = 0;
		if (row[i].until_us > s->lapsed_us)
			s->lapsed_us = row[i].until_us;
	}
	s->unleased = unleased > UINT16_MAX ? UINT16_MAX : (uint16_t)unleased;
}

/* Returns how many credits of a server are under a live lease. */
uint16_t
gr_leased(const struct gr *gr, uint16_t server, int64_t now_us)
{
	const struct gr_hold *row = gr_row(gr, server);
	uint32_t sum = 0;
	uint16_t i;

	for (i = 0; i < gr->options.max_instances; i++)
		if (row[i].until_us > now_us)
			sum += row[i].credits;
	return (uint16_t)sum;
}

/*
 * Takes in an announcement.  Work without a live lease (sent while the server
 * was taken for warm, or under a lease that ended) counts against the server
 * until a load report says that it is gone.  That report must have been
 * measured after the last such lease, or after every instance has been told
 * that the server is cold.
 */
void
gr_announce(struct gr *gr, const struct cf_announce *said, int64_t now_us)
{
	struct gr_server *s;
	uint32_t load = (uint32_t)said->running + said->queued;
	int64_t waited_us = gr->options.now_us + gr->options.lease_us;

	if (said->server >= gr->options.max_servers)
		return;
	s = &gr->servers[said->server];
	if (s->known && (said->incarnation < s->incarnation ||
			    (said->incarnation == s->incarnation &&
				said->reported_us < s->reported_us)))
		return;
	gr_lapse(gr, said->server, now_us);
	if (!s->known || said->incarnation != s->incarnation ||
	    (s->warmth == CF_WARM && said->warmth == CF_COLD)) {
		s->unleased = UINT16_MAX;
		s->lapsed_us = now_us + GR_TOLD_US;
		if (!s->known && waited_us > s->lapsed_us)
			s->lapsed_us = waited_us;
	}
	s->known = true;
	s->incarnation = said->incarnation;
	s->warmth = said->warmth;
	s->cold_slots = said->cold_slots;
	s->reported_us = said->reported_us;
	if (said->reported_us > s->lapsed_us && load < s->unleased)
		s->unleased = (uint16_t)load;
	if (gr->options.unsafe_skip_wait)
		s->unleased = 0;
}

static uint16_t
gr_room(const struct gr *gr, uint16_t server, int64_t now_us)
{
	const struct gr_server *s = &gr->servers[server];
	uint32_t taken = (uint32_t)gr_leased(gr, server, now_us) + s->unleased;

	return taken >= s->cold_slots ? 0 : (uint16_t)(s->cold_slots - taken);
}

/*
 * Leases up to wanted credits of a cold server to an instance, in place of
 * what it held.  Returns false and leaves its lease as it was when the server
 * is not cold, the incarnation is not the known one, or earlier leases may
 * still be in force.  An instance never loses what it already holds by asking.
 */
bool
gr_ask(struct gr *gr, uint16_t instance, uint16_t server, uint64_t incarnation,
    uint16_t wanted, int64_t now_us, struct gr_lease *lease)
{
	struct gr_server *s;
	struct gr_hold *hold;
	uint16_t room;

	if (server >= gr->options.max_servers ||
	    instance >= gr->options.max_instances)
		return false;
	s = &gr->servers[server];
	if (!s->known || s->incarnation != incarnation || s->warmth != CF_COLD)
		return false;
	if (!gr->options.unsafe_skip_wait &&
	    now_us < gr->options.now_us + gr->options.lease_us)
		return false;
	gr_lapse(gr, server, now_us);
	hold = &gr_row(gr, server)[instance];
	room = gr_room(gr, server, now_us);
	if (wanted > hold->credits) {
		if (wanted - hold->credits < room)
			room = wanted - hold->credits;
		hold->credits += room;
	}
	hold->until_us = now_us + gr->options.lease_us;
	lease->incarnation = incarnation;
	lease->credits = hold->credits;
	lease->until_us = hold->until_us;
	return true;
}

/* Takes credits back that an instance no longer uses. */
void
gr_give(struct gr *gr, uint16_t instance, uint16_t server, uint16_t credits,
    int64_t now_us)
{
	struct gr_hold *hold;

	if (server >= gr->options.max_servers ||
	    instance >= gr->options.max_instances)
		return;
	gr_lapse(gr, server, now_us);
	hold = &gr_row(gr, server)[instance];
	hold->credits =
	    credits < hold->credits ? (uint16_t)(hold->credits - credits) : 0;
}
