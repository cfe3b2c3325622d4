#include "core/granter.h"
#include "slopes.h"

/*
 * The granter of a data centre: every server is cold and announces itself twice
 * a second, and eight instances a second lease credits for it.
 */
enum {
	RUN_S = 60,
	LEASES_PER_SERVER_S = 8,
	STEP_US = 500000
};

/* Measures one point over RUN_S seconds of virtual time. */
static void
measure(struct sweep *sweep, double x, uint16_t servers, uint16_t instances)
{
	struct meter meter;
	struct granter_options o = {
	    .max_servers = servers, .max_instances = instances, .now_us = 1};
	struct point *p = sweep_add_point(sweep, x);
	struct granter_lease lease;
	struct granter *gr;
	int64_t used_ns;

	meter_init(&meter);
	o.alloc = &meter.alloc;
	gr = granter_new(&o);
	used_ns = cpu_ns();
	for (int64_t t = 0; t < RUN_S * INT64_C(1000000); t += STEP_US) {
		for (uint16_t s = 0; s < servers; s++) {
			struct cf_announce a = {.server = s,
			    .incarnation = 1,
			    .warmth = CF_COLD,
			    .slots = 16,
			    .cold_slots = 4,
			    .reported_us = t};

			granter_update_server(gr, &a, t);
			for (int i = 0; i < LEASES_PER_SERVER_S / 2; i++)
				granter_lease_credits(gr,
				    (uint16_t)((t / STEP_US *
						       LEASES_PER_SERVER_S +
						   i) %
					       instances),
				    s, 1, 1, t, &lease);
		}
	}
	used_ns = cpu_ns() - used_ns;
	p->value[0] = (double)meter.live;
	p->value[1] = (double)used_ns / 1000 / RUN_S;
	p->value[2] =
	    (double)used_ns / 1000 / RUN_S / servers / LEASES_PER_SERVER_S;
	granter_free(gr);
}

/* Measures leases of credits by servers and by instances. */
void
slopes_granter(void)
{
	static const char names[] = "state_bytes,cpu_us_s,cpu_us_an_ask";
	static const uint16_t servers[] = {36, 73, 146, 256};
	static const uint16_t instances[] = {8, 21, 42, 84, 120};
	struct sweep *s = sweep_begin("granter", "servers", names);

	for (uint32_t i = 0; i < 4; i++)
		measure(s, servers[i], servers[i], 84);
	s = sweep_begin("granter", "instances", names);
	for (uint32_t i = 0; i < 5; i++)
		measure(s, instances[i], 146, instances[i]);
}
