#include "core/granter.h"

/*
 * Within this time an announcement reaches all instances, and what they sent
 * before reaches the backend server.
 */
#define ANNOUNCEMENT_SPREAD_US INT64_C(200000)

/* Credits of one server that are leased to one instance. */
struct granter_grant {
	uint16_t credits;
	int64_t until_us;
};

struct granter_server {
	bool known;
	uint64_t incarnation;
	enum cf_warmth warmth;
	uint16_t cold_slots;
	uint16_t unleased_requests; /* most that may run without a live lease */
	int64_t last_expiry_us; /* when the last of those lost its lease */
	int64_t reported_us; /* when its last known load was measured */
};

struct granter {
	struct granter_options options;
	const struct alloc *alloc;
	struct granter_server *servers;
	struct granter_grant *grants; /* a row of instances for each server */
};

/* Creates a granter that grants nothing until earlier leases have expired. */
struct granter *
granter_new(const struct granter_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct granter *gr = alloc_zero(alloc, 1, sizeof(*gr));

	gr->options = *options;
	gr->alloc = alloc;
	if (gr->options.lease_us == 0)
		gr->options.lease_us = GRANTER_LEASE_US;
	gr->servers =
	    alloc_zero(alloc, options->max_servers, sizeof(*gr->servers));
	gr->grants = alloc_zero(alloc,
	    (size_t)options->max_servers * options->max_instances,
	    sizeof(*gr->grants));
	return gr;
}

void
granter_free(struct granter *gr)
{
	if (gr == NULL)
		return;
	alloc_free(gr->alloc, gr->servers);
	alloc_free(gr->alloc, gr->grants);
	alloc_free(gr->alloc, gr);
}

static struct granter_grant *
server_grants(const struct granter *gr, uint16_t server)
{
	return &gr->grants[(size_t)server * gr->options.max_instances];
}

/* Moves the credits of expired leases to the count of unleased requests. */
static void
expire_leases(struct granter *gr, uint16_t server, int64_t now_us)
{
	struct granter_server *s = &gr->servers[server];
	struct granter_grant *row = server_grants(gr, server);
	uint32_t unleased_requests = s->unleased_requests;
	uint16_t i;

	for (i = 0; i < gr->options.max_instances; i++) {
		if (row[i].credits == 0 || row[i].until_us > now_us)
			continue;
		unleased_requests += row[i].credits;
		row[i].credits = 0;
		if (row[i].until_us > s->last_expiry_us)
			s->last_expiry_us = row[i].until_us;
	}
	s->unleased_requests = unleased_requests > UINT16_MAX
				   ? UINT16_MAX
				   : (uint16_t)unleased_requests;
}

/* Returns how many credits of a server are under a live lease. */
uint16_t
granter_leased_credits(
    const struct granter *gr, uint16_t server, int64_t now_us)
{
	const struct granter_grant *row = server_grants(gr, server);
	uint32_t sum = 0;
	uint16_t i;

	for (i = 0; i < gr->options.max_instances; i++)
		if (row[i].until_us > now_us)
			sum += row[i].credits;
	return (uint16_t)sum;
}

/*
 * Updates a server from its announcement.  Requests without a live lease, sent
 * while the server was taken for warm or under a lease that expired, count
 * against the server until a load report shows that they have ended.  That
 * report must have been measured after the last such lease expired, or after
 * every instance has learned that the server is cold.  Announcements of an
 * earlier incarnation or with an earlier report are ignored.
 */
void
granter_update_server(
    struct granter *gr, const struct cf_announce *announcement, int64_t now_us)
{
	struct granter_server *s;
	uint32_t load = (uint32_t)announcement->running + announcement->queued;
	int64_t earlier_leases_end_us =
	    gr->options.now_us + gr->options.lease_us;

	if (announcement->server >= gr->options.max_servers)
		return;
	s = &gr->servers[announcement->server];
	if (s->known && (announcement->incarnation < s->incarnation ||
			    (announcement->incarnation == s->incarnation &&
				announcement->reported_us < s->reported_us)))
		return;
	expire_leases(gr, announcement->server, now_us);
	if (!s->known || announcement->incarnation != s->incarnation ||
	    (s->warmth == CF_WARM && announcement->warmth == CF_COLD)) {
		s->unleased_requests = UINT16_MAX;
		s->last_expiry_us = now_us + ANNOUNCEMENT_SPREAD_US;
		if (!s->known && earlier_leases_end_us > s->last_expiry_us)
			s->last_expiry_us = earlier_leases_end_us;
	}
	s->known = true;
	s->incarnation = announcement->incarnation;
	s->warmth = announcement->warmth;
	s->cold_slots = announcement->cold_slots;
	s->reported_us = announcement->reported_us;
	if (announcement->reported_us > s->last_expiry_us &&
	    load < s->unleased_requests)
		s->unleased_requests = (uint16_t)load;
	if (gr->options.unsafe_skip_wait)
		s->unleased_requests = 0;
}

/* Returns how many more credits of a server can be leased. */
static uint16_t
free_credits(const struct granter *gr, uint16_t server, int64_t now_us)
{
	const struct granter_server *s = &gr->servers[server];
	uint32_t in_use = (uint32_t)granter_leased_credits(gr, server, now_us) +
			  s->unleased_requests;

	return in_use >= s->cold_slots ? 0 : (uint16_t)(s->cold_slots - in_use);
}

/*
 * Leases up to wanted credits of a cold server to an instance, in place of the
 * instance's lease.  Returns false and leaves that lease as it was if the
 * server is not cold, the incarnation is not the known one, or leases of an
 * earlier granter may still be live.  The new lease never has fewer credits
 * than the instance already holds.
 */
bool
granter_lease_credits(struct granter *gr, uint16_t instance, uint16_t server,
    uint64_t incarnation, uint16_t wanted, int64_t now_us,
    struct granter_lease *lease)
{
	struct granter_server *s;
	struct granter_grant *grant;
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
	expire_leases(gr, server, now_us);
	grant = &server_grants(gr, server)[instance];
	room = free_credits(gr, server, now_us);
	if (wanted > grant->credits) {
		if (wanted - grant->credits < room)
			room = wanted - grant->credits;
		grant->credits += room;
	}
	grant->until_us = now_us + gr->options.lease_us;
	lease->incarnation = incarnation;
	lease->credits = grant->credits;
	lease->until_us = grant->until_us;
	return true;
}

/* Takes back credits that an instance no longer uses. */
void
granter_return_credits(struct granter *gr, uint16_t instance, uint16_t server,
    uint16_t credits, int64_t now_us)
{
	struct granter_grant *grant;

	if (server >= gr->options.max_servers ||
	    instance >= gr->options.max_instances)
		return;
	expire_leases(gr, server, now_us);
	grant = &server_grants(gr, server)[instance];
	grant->credits =
	    credits < grant->credits ? (uint16_t)(grant->credits - credits) : 0;
}
