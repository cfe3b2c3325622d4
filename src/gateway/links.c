#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/slot_index.h"
#include "gateway/entry.h"
#include "gateway/farewells.h"
#include "gateway/follow.h"
#include "gateway/gateway.h"
#include "gateway/instance_count.h"
#include "gateway/judge.h"
#include "gateway/control_peers.h"
#include "gateway/loads.h"
#include "gateway/replica.h"
#include "gateway/report.h"
#include "gateway/server_message.h"
#include "route/suspects.h"
#include "wire/cluster.pb-c.h"

/*
 * Messages between instances.  Every instance sends a Hello to each instance
 * that serves control, which it knows from its seeds and from the answers of
 * other instances.  A control instance answers with News: the changes of its
 * registry of backend servers.  It also pushes them to its subscribers.  An
 * instance that has lost its path to servers says so in its Hello, and is told
 * where it may forward requests to.  Instances can therefore join, leave and
 * change their address without a configured list of members.
 */

enum {
	HELLO_SENDERS_MAX = 1024, /* instances that send Hello messages */
	/* period until any instance has answered */
	HELLO_UNANSWERED_US = 100000,
	HELLO_PERIOD_US = 1000000,
	/* largest age of the cached summary of the notes */
	SUMMARY_MAX_AGE_US = 250000,
	/*
	 * Successive Hello rounds with different summaries after which all
	 * notes are sent.  Entry instances wait longer, so that control
	 * instances send theirs first.
	 */
	CONTROL_MISMATCH_ROUNDS = 1,
	ENTRY_MISMATCH_ROUNDS = 3,
	/* period while a roll-out has outcomes to report */
	HELLO_OUTCOMES_US = 250000,
	PUSH_URGENT_DELAY_US = 10000,
	PUSH_DELAY_US = 500000,
	REGISTRY_TICK_US = 1000000,
	KEY_HEX_BYTES = 64
};

/* An instance that sends Hello messages to this one. */
struct hello_sender {
	uint32_t instance;
	int64_t heard_us;
	bool subscribed;
	uint64_t data_centre; /* hash of its name */
	bool takes_forwarded; /* requests of instances that are cut off */
	bool takes_as_last_resort; /* the same, while it shuts down */
	bool cut_off; /* reaches no server of some service */
	/* last change of this registry that was sent to it */
	uint64_t sent_change;
	struct gw_notes_peer notes;
};

struct gw_links {
	struct gw *gw;
	struct peer_hub *hub;
	struct gw_peers peers; /* instances that serve control */
	struct hello_sender senders[HELLO_SENDERS_MAX];
	uint32_t sender_count;
	struct slot_index senders_by_instance;
	struct gw_instance_count instance_count; /* entry instances */
	bool cut_off; /* this instance reaches no server of some service */
	/* where it may forward requests to then, as told last */
	uint32_t forwarders[GW_FORWARDERS_MAX];
	uint32_t forwarder_count;
	struct gw_notes *notes;
	uint64_t logged_notes_dropped; /* count at the last log line about it */
	bool notes_pending;
	/* early messages for notes: pushes, and Hello rounds */
	struct gw_note_pace push_pace;
	struct gw_note_pace hello_pace;
	bool hello_has_more; /* the last round has left notes for the next */
	struct gw_notes_summary summary; /* cached since summary_us */
	int64_t summary_us;
	struct loop_timer *hello_timer;
	int64_t hello_due_us;
	struct loop_timer *push_timer;
	int64_t push_due_us;
	struct loop_timer *tick_timer;
};

static void schedule_push(struct gw_links *links, int64_t delay_us);
static void schedule_hello(struct gw_links *links, int64_t delay_us);

/* Writes the number of an instance as a dotted IPv4 address. */
void
gw_format_address(uint32_t instance, char out[GW_NAME_BYTES])
{
	struct in_addr address = {htonl(instance)};

	inet_ntop(AF_INET, &address, out, GW_NAME_BYTES);
}

/*
 * Returns the number of the instance with a dotted IPv4 address, or 0 if the
 * text is not one.
 */
static uint32_t
parse_address(const char *text)
{
	struct in_addr address;

	return inet_pton(AF_INET, text, &address) == 1 ? ntohl(address.s_addr)
						       : 0;
}

/*
 * Sends a message to an instance, without a guarantee of delivery.  Adds the
 * instance to the peer hub if it is not known there yet.  Does nothing if the
 * links are down, or if the receiver is this instance or 0.
 */
void
gw_send_message(struct gw *gw, uint32_t to, enum peer_channel channel,
    const struct buf *bytes)
{
	struct gw_links *links = gw->links;
	char name[GW_NAME_BYTES];
	int error;

	if (links == NULL || to == 0 || to == gw->self)
		return;
	gw_format_address(to, name);
	error = peer_send(
	    links->hub, name, channel, bytes->data, (uint32_t)bytes->len);
	if (error == ERR_NOT_FOUND) {
		peer_hub_add(
		    links->hub, name, name, (uint16_t)gw->settings->link_port);
		error = peer_send(links->hub, name, channel, bytes->data,
		    (uint32_t)bytes->len);
	}
	/* Links that are down are logged by themselves. */
	if (error == ERR_TOO_LARGE)
		log_event(LOG_LEVEL_ERROR, "message_too_large",
		    "to=%s channel=%d bytes=%zu", name, channel, bytes->len);
}

/*
 * Lists the instances that serve control, including this one if it does.
 * Returns their number, at most max.
 */
uint32_t
gw_list_control_instances(const struct gw *gw, uint32_t *out, uint32_t max)
{
	return gw->links != NULL ? gw_peers_list(&gw->links->peers, out, max)
				 : 0;
}

/*
 * Returns the number of instances that may send requests to backend servers and
 * the place of this one, or zeros if it is not known yet.
 */
struct rate_members
gw_entry_members(const struct gw *gw)
{
	return gw_instance_count_get(
	    &gw->links->instance_count, gw->self, loop_now_us(gw->loop));
}

/*
 * Returns a reachable instance that serves control, preferably one of this
 * data centre, or 0 if there is none.
 */
uint32_t
gw_nearest_control_instance(const struct gw *gw)
{
	return gw_peers_nearest(&gw->links->peers, loop_now_us(gw->loop));
}

/*
 * Passes a changed list of control instances to the follower and the replica.
 */
static void
peers_changed(void *ctx)
{
	struct gw_links *links = ctx;
	uint32_t list[GW_PEERS_MAX];
	uint32_t count = gw_peers_list(&links->peers, list, GW_PEERS_MAX);

	if (links->gw->order_follower != NULL)
		gw_follower_set_upstream(
		    links->gw->order_follower, list, count);
	if (links->gw->replica != NULL)
		gw_replica_set_peers(links->gw->replica, list, count);
}

/* Sets the seeds to those of the settings, which may have been reloaded. */
void
gw_update_seeds(struct gw *gw)
{
	const struct gw_settings *settings = gw->settings;
	uint32_t seeds[GW_SEEDS_MAX];

	for (uint32_t i = 0; i < settings->seed_count; i++)
		seeds[i] = parse_address(settings->seeds[i].host);
	gw_peers_set_seeds(&gw->links->peers, seeds, settings->seed_count);
}

/*
 * Removes silent instances and expired notes, and logs how many notes were
 * dropped since the last call.
 */
static void
remove_silent(struct gw_links *links, int64_t now_us)
{
	uint32_t kept = 0;

	gw_peers_remove_silent(&links->peers, now_us);
	for (uint32_t i = 0; i < links->sender_count; i++) {
		slot_index_remove(&links->senders_by_instance, (uint16_t)i);
		if (now_us - links->senders[i].heard_us >= GW_PEER_FORGET_US)
			continue;
		links->senders[kept] = links->senders[i];
		slot_index_put(&links->senders_by_instance,
		    links->senders[kept].instance, (uint16_t)kept);
		kept++;
	}
	links->sender_count = kept;
	gw_notes_remove_expired(links->notes, now_us);
	if (gw_notes_dropped(links->notes) != links->logged_notes_dropped)
		log_event(LOG_LEVEL_WARN, "notes_dropped", "count=%" PRIu64,
		    gw_notes_dropped(links->notes) -
			links->logged_notes_dropped);
	links->logged_notes_dropped = gw_notes_dropped(links->notes);
}

/*
 * Returns the summary of this instance's notes, at most SUMMARY_MAX_AGE_US
 * old.
 */
static const struct gw_notes_summary *
own_summary(struct gw_links *links)
{
	int64_t now_us = loop_now_us(links->gw->loop);

	if (links->summary_us == 0 ||
	    now_us - links->summary_us >= SUMMARY_MAX_AGE_US) {
		links->summary = gw_notes_summarize(links->notes, now_us);
		links->summary_us = now_us;
	}
	return &links->summary;
}

static void
pack_summary(struct gw_links *links, Clpb__NoteSum *pb)
{
	const struct gw_notes_summary *sum = own_summary(links);

	clpb__note_sum__init(pb);
	pb->digest = sum->digest;
	pb->count = sum->count;
}

/* Compares a received summary with this instance's; none counts as empty. */
static void
compare_summary(
    struct gw_links *links, struct gw_notes_peer *peer, const Clpb__NoteSum *pb)
{
	struct gw_notes_summary its = {0, 0};

	if (pb != NULL)
		its = (struct gw_notes_summary){pb->digest, pb->count};
	gw_notes_compare(peer, own_summary(links), &its);
}

/*
 * Fills in which of this instance's notes a message holds, and which of the
 * receiver's have arrived.
 */
static void
pack_feed(const struct gw_report *report, const struct gw_notes_peer *peer,
    Clpb__NoteFeed *pb)
{
	clpb__note_feed__init(pb);
	pb->after = report->after;
	pb->to = report->to;
	pb->of = peer->feed.incarnation;
	pb->heard = peer->feed.heard;
}

/* Handles what a message says of the sender's notes and of this instance's. */
static void
accept_feed(struct gw_links *links, struct gw_notes_peer *peer,
    uint64_t incarnation, const Clpb__NoteFeed *pb)
{
	uint64_t last = gw_notes_last_number(links->notes), heard = 0;

	if (pb == NULL) { /* an older build, maybe after a newer one */
		peer->feed.is_answered = false;
		return;
	}
	gw_note_feed_arrived(&peer->feed, incarnation, pb->after, pb->to);
	if (pb->of == links->gw->incarnation)
		heard = pb->heard < last ? pb->heard : last;
	gw_note_feed_acknowledged(
	    &peer->feed, heard, loop_now_us(links->gw->loop));
}

static bool
serves_entry(const struct gw *gw)
{
	return gw->settings->listen.host[0] != '\0';
}

static bool
serves_forward(const struct gw *gw)
{
	return serves_entry(gw) && gw->settings->forward_port != 0;
}

static bool
serves_control(const struct gw *gw)
{
	return gw->settings->control_listen.host[0] != '\0';
}

/* Whether an instance is pushed this instance's notes, and acknowledges. */
static bool
is_fed_by_pushes(const struct gw_links *links, uint32_t instance)
{
	uint16_t i = slot_index_first(&links->senders_by_instance, instance);
	const struct hello_sender *sender;

	if (i == SLOT_INDEX_NONE)
		return false;
	sender = &links->senders[i];
	return sender->subscribed && sender->notes.feed.is_answered &&
	       loop_now_us(links->gw->loop) - sender->heard_us <
		   GW_PEER_ALIVE_US;
}

/*
 * Chooses the notes of a Hello: new notes, or all if the receiver's have
 * differed for long enough; none for one that is pushed them.
 */
static void
set_hello_notes(
    struct gw_links *links, struct gw_peer *peer, struct gw_report *report)
{
	int64_t now_us = loop_now_us(links->gw->loop);

	peer->notes.own_first = links->gw->self;
	if (is_fed_by_pushes(links, peer->instance))
		gw_report_clear_notes(report, &peer->notes);
	else if (gw_notes_should_send_all(links->notes, &peer->notes,
		     serves_entry(links->gw) ? ENTRY_MISMATCH_ROUNDS
					     : CONTROL_MISMATCH_ROUNDS,
		     now_us))
		gw_report_set_all_notes(
		    report, links->notes, &peer->notes, now_us);
	else
		gw_report_set_new_notes(
		    report, links->notes, &peer->notes, peer->instance, now_us);
	links->hello_has_more |= report->has_more;
}

/*
 * Sends a Hello to a control instance, with the outcomes of the report.
 */
static void
send_hello(
    struct gw_links *links, struct gw_peer *peer, struct gw_report *report)
{
	int64_t now_us = loop_now_us(links->gw->loop);
	Clpb__Hello hello = CLPB__HELLO__INIT;
	Clpb__NoteFeed feed;
	Clpb__NoteSum sum;
	struct buf bytes;

	hello.incarnation = links->gw->incarnation;
	hello.keeps_state = links->gw->settings->data_dir[0] != '\0';
	hello.without_entry = !serves_entry(links->gw);
	hello.cut_off = links->cut_off;
	hello.takes_forwarded =
	    serves_forward(links->gw) && !links->gw->stopping;
	hello.takes_as_last_resort = serves_forward(links->gw) &&
				     links->gw->stopping &&
				     links->gw->entry != NULL &&
				     gw_entry_takes_forwarded(links->gw->entry);
	hello.feed = peer->registry_incarnation;
	hello.change = peer->last_change;
	hello.subscribe =
	    gw_peers_is_subscribed_to(&links->peers, peer->instance, now_us);
	hello.n_outcomes = report->outcome_count;
	hello.outcomes = (Clpb__Outcome **)report->outcome_list;
	set_hello_notes(links, peer, report);
	hello.n_notes = report->note_count;
	hello.notes = report->note_list;
	hello.n_note_groups = report->group_count;
	hello.note_groups = report->group_list;
	pack_feed(report, &peer->notes, &feed);
	hello.note_feed = &feed;
	pack_summary(links, &sum);
	hello.note_sum = &sum;
	buf_init(&bytes, links->gw->alloc);
	buf_reserve(&bytes, clpb__hello__get_packed_size(&hello));
	bytes.len = clpb__hello__pack(&hello, bytes.data);
	gw_send_message(links->gw, peer->instance, PEER_CLUSTER_HELLO, &bytes);
	buf_free(&bytes);
}

static void
send_hellos(struct gw_links *links)
{
	static struct gw_report report;

	if (links->gw->entry != NULL)
		gw_report_set_outcomes(
		    &report, gw_entry_outcomes(links->gw->entry));
	for (uint32_t i = 0; i < links->peers.count; i++) {
		if (links->peers.rows[i].instance != links->gw->self)
			send_hello(links, &links->peers.rows[i], &report);
	}
}

static void
on_hello_timer(void *ctx)
{
	struct gw_links *links = ctx;
	int64_t wait_us = HELLO_PERIOD_US;

	links->hello_has_more = false;
	send_hellos(links);
	gw_note_pace_spend(&links->hello_pace, loop_now_us(links->gw->loop));
	if (!gw_peers_any_heard(&links->peers) || links->hello_has_more)
		wait_us = HELLO_UNANSWERED_US;
	else if (links->gw->entry != NULL &&
		 gw_entry_has_rollout(links->gw->entry))
		wait_us = HELLO_OUTCOMES_US;
	links->hello_timer = NULL;
	schedule_hello(links, wait_us);
}

/*
 * Schedules the next Hello round.  Keeps an earlier due time: otherwise
 * frequent notes would postpone it again and again.
 */
static void
schedule_hello(struct gw_links *links, int64_t delay_us)
{
	int64_t at_us = loop_now_us(links->gw->loop) + delay_us;

	if (links->hello_timer != NULL && links->hello_due_us <= at_us)
		return;
	loop_cancel(links->hello_timer);
	links->hello_due_us = at_us;
	links->hello_timer =
	    loop_after(links->gw->loop, delay_us, on_hello_timer, links);
}

enum {
	/* One message holds every server of the registry */
	NEWS_SERVERS_MAX = REGISTRY_SERVERS_MAX
};

struct news_message {
	Clpb__News pb;
	struct gw_server_message servers[NEWS_SERVERS_MAX];
	Clpb__Server *server_list[NEWS_SERVERS_MAX];
	uint64_t control[GW_PEERS_MAX];
	uint32_t forward_to[GW_FORWARDERS_MAX];
	struct gw_report notes;
	Clpb__NoteSum note_sum;
	Clpb__NoteFeed note_feed;
	uint64_t after; /* last change that the receiver has */
	int64_t now_us;
};

/*
 * Adds a server to the message: in full, or only its identity and age if it
 * was only refreshed since the change that the receiver has.
 */
static void
pack_server(void *ctx, const struct registry_server *server)
{
	struct news_message *news = ctx;
	size_t n = news->pb.n_servers;

	if (n == NEWS_SERVERS_MAX)
		return;
	gw_server_message_init(&news->servers[n], server,
	    registry_only_refreshed(server, news->after), news->now_us);
	news->server_list[n] = &news->servers[n].pb;
	news->pb.n_servers++;
}

static struct gw_forward_candidate
forward_candidate(const struct hello_sender *sender, int64_t now_us)
{
	bool alive = now_us - sender->heard_us < GW_PEER_ALIVE_US;

	return (struct gw_forward_candidate){.instance = sender->instance,
	    .data_centre = sender->data_centre,
	    .takes_forwarded = alive && sender->takes_forwarded,
	    .takes_as_last_resort = alive && sender->takes_as_last_resort,
	    .cut_off = sender->cut_off};
}

/* Adds the instances to which the receiver, which is cut off, may forward. */
static void
pack_forwarders(struct gw_links *links, const struct hello_sender *to,
    struct news_message *news)
{
	static struct gw_forward_candidate rows[HELLO_SENDERS_MAX];
	struct gw_forward_candidate receiver =
	    forward_candidate(to, news->now_us);

	for (uint32_t i = 0; i < links->sender_count; i++)
		rows[i] = forward_candidate(&links->senders[i], news->now_us);
	news->pb.forward_to = news->forward_to;
	news->pb.n_forward_to = gw_forwarders_choose(
	    rows, links->sender_count, &receiver, news->forward_to);
}

/*
 * Sends News: the registry's changes after the given one, the live instances
 * that serve control, the number of entry instances and notes.
 */
static void
send_news(struct gw_links *links, struct hello_sender *to, uint64_t after)
{
	static struct news_message news;
	const struct server_registry *registry = links->gw->registry;
	struct rate_members members;
	struct buf bytes;

	clpb__news__init(&news.pb);
	news.now_us = loop_now_us(links->gw->loop);
	news.pb.incarnation = links->gw->incarnation;
	news.pb.after = news.after = after;
	news.pb.change = registry_last_change(registry);
	news.pb.servers = news.server_list;
	registry_visit_changes(registry, after, pack_server, &news);
	for (uint32_t i = 0; i < links->peers.count; i++) {
		const struct gw_peer *peer = &links->peers.rows[i];

		if (gw_peers_is_alive(&links->peers, peer, news.now_us))
			news.control[news.pb.n_control++] = peer->instance;
	}
	news.pb.control = news.control;
	members = gw_instance_count_own(
	    &links->instance_count, to->instance, news.now_us);
	news.pb.entry_instances = members.count;
	news.pb.entry_place = members.place;
	if (to->cut_off)
		pack_forwarders(links, to, &news);
	if (!to->subscribed && to->notes.feed.is_answered)
		/* Those that it subscribes to tell it. */
		gw_report_clear_notes(&news.notes, &to->notes);
	else if (to->subscribed &&
		 gw_notes_should_send_all(links->notes, &to->notes,
		     CONTROL_MISMATCH_ROUNDS, news.now_us))
		gw_report_set_all_notes(
		    &news.notes, links->notes, &to->notes, news.now_us);
	else
		gw_report_set_new_notes(&news.notes, links->notes, &to->notes,
		    to->instance, news.now_us);
	pack_summary(links, &news.note_sum);
	news.pb.note_sum = &news.note_sum;
	news.pb.n_notes = news.notes.note_count;
	news.pb.notes = news.notes.note_list;
	news.pb.n_note_groups = news.notes.group_count;
	news.pb.note_groups = news.notes.group_list;
	pack_feed(&news.notes, &to->notes, &news.note_feed);
	news.pb.note_feed = &news.note_feed;
	buf_init(&bytes, links->gw->alloc);
	buf_reserve(&bytes, clpb__news__get_packed_size(&news.pb));
	bytes.len = clpb__news__pack(&news.pb, bytes.data);
	gw_send_message(links->gw, to->instance, PEER_CLUSTER_NEWS, &bytes);
	buf_free(&bytes);
	to->sent_change = news.pb.change;
	if (news.notes.has_more) {
		links->notes_pending = true;
		schedule_push(links, NOTE_PACE_INTERVAL_US);
	}
}

/* Sends the pending changes and notes to the live subscribers. */
static void
on_push(void *ctx)
{
	struct gw_links *links = ctx;
	int64_t now_us = loop_now_us(links->gw->loop);
	bool notes_pending = links->notes_pending;

	links->push_timer = NULL;
	links->notes_pending = false; /* until notes are left for the next */
	if (notes_pending)
		gw_note_pace_spend(&links->push_pace, now_us);
	for (uint32_t i = 0; i < links->sender_count; i++) {
		struct hello_sender *sender = &links->senders[i];

		if (sender->subscribed &&
		    now_us - sender->heard_us < GW_PEER_ALIVE_US &&
		    (sender->sent_change <
			    registry_last_change(links->gw->registry) ||
			(notes_pending &&
			    gw_report_has_new_notes(links->notes,
				&sender->notes, sender->instance, now_us))))
			send_news(links, sender, sender->sent_change);
	}
}

/* Schedules the next push to subscribers, unless an earlier one is due. */
static void
schedule_push(struct gw_links *links, int64_t delay_us)
{
	int64_t at_us = loop_now_us(links->gw->loop) + delay_us;

	if (links->push_timer != NULL && links->push_due_us <= at_us)
		return;
	loop_cancel(links->push_timer);
	links->push_due_us = at_us;
	links->push_timer =
	    loop_after(links->gw->loop, delay_us, on_push, links);
}

/*
 * Returns the entry of a Hello sender, which is added if missing, or NULL if
 * there is no room.
 */
static struct hello_sender *
get_sender(struct gw_links *links, uint32_t instance)
{
	struct slot_index *index = &links->senders_by_instance;
	uint16_t known = slot_index_first(index, instance);
	struct hello_sender *sender;

	if (known != SLOT_INDEX_NONE)
		return &links->senders[known];
	if (links->sender_count == HELLO_SENDERS_MAX)
		return NULL;
	slot_index_put(index, instance, (uint16_t)links->sender_count);
	sender = &links->senders[links->sender_count++];
	memset(sender, 0, sizeof(*sender));
	sender->instance = instance;
	return sender;
}

/*
 * Returns how long a note may wait for others before it is sent.  Those of
 * crashes come in crowds: the first are sent at once, further ones at a bounded
 * rate.  Acquittals spare requests a detour, no server, and wait.
 */
static int64_t
note_delay_us(const struct gw_links *links, const struct gw_note *note,
    const struct gw_note_pace *pace)
{
	if (note->kind != GW_NOTE_CRASH && note->kind != GW_NOTE_PART_CRASH)
		return PUSH_URGENT_DELAY_US;
	if (note->value == SUSPECTS_ACQUITTED)
		return NOTE_PACE_INTERVAL_US;
	return gw_note_pace_delay_us(pace, loop_now_us(links->gw->loop));
}

/*
 * Adds a note of this instance or of another one.  A new note is applied to
 * the registry and the entry, and is forwarded to other instances.
 */
static void
accept_note(struct gw_links *links, const struct gw_note *note)
{
	struct gw *gw = links->gw;

	if (!gw_notes_add(links->notes, note, loop_now_us(gw->loop)))
		return;
	if (note->kind == GW_NOTE_SERVER_LEAVING)
		(void)registry_mark_leaving(
		    gw->registry, note->key, loop_now_us(gw->loop));
	if (gw->entry != NULL)
		gw_entry_apply_note(gw->entry, note);
	links->notes_pending = true;
	schedule_push(links, note_delay_us(links, note, &links->push_pace));
	/*
	 * This instance has no subscribers: it sends its own note with a Hello
	 * to the control instances, which have some.
	 */
	if (gw->control == NULL && note->told_by == gw->self)
		schedule_hello(
		    links, note_delay_us(links, note, &links->hello_pace));
}

/*
 * Sends a note to every entry instance, including this one.  The caller sets
 * when its value dates from.
 */
void
gw_publish_dated_note(struct gw *gw, const struct gw_note *note)
{
	struct gw_note own = *note;

	own.told_by = gw->self;
	accept_note(gw->links, &own);
}

/* The same, for a note that dates from now. */
void
gw_publish_note(struct gw *gw, enum gw_note_kind kind, uint64_t key,
    uint64_t part, uint64_t value)
{
	struct gw_note note = {.kind = kind,
	    .key = key,
	    .part = part,
	    .value = value,
	    .at_us = loop_now_us(gw->loop)};

	gw_publish_dated_note(gw, &note);
}

static void
accept_notes(
    struct gw_links *links, uint32_t from, Clpb__Note **notes, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct gw_note note =
		    gw_report_read_note(notes[i], loop_now_us(links->gw->loop));

		note.told_by = from;
		accept_note(links, &note);
	}
}

/* Accepts the groups of notes of a message. */
static void
accept_groups(struct gw_links *links, uint32_t from, Clpb__NoteGroup **groups,
    size_t count)
{
	int64_t now_us = loop_now_us(links->gw->loop);

	for (size_t i = 0; i < count; i++) {
		if (!gw_report_group_is_whole(groups[i])) {
			log_event(LOG_LEVEL_WARN, "message_unreadable",
			    "kind=note_group groups=%zu", count - i);
			return;
		}
		for (size_t k = 0; k < groups[i]->n_keys; k++) {
			struct gw_note note =
			    gw_report_read_grouped(groups[i], k, now_us);

			note.told_by = from;
			accept_note(links, &note);
		}
	}
}

/*
 * Passes the notes of a kind and value to this instance's entry again, which
 * may have received them before it could use them.
 */
void
gw_redeliver_notes(struct gw *gw, enum gw_note_kind kind, uint32_t value)
{
	const struct gw_notes *notes = gw->links->notes;

	for (size_t i = 0; i < gw_notes_count(notes); i++) {
		const struct gw_note *note = gw_notes_at(notes, i);

		if (note->kind == kind && note->value == value)
			gw_entry_apply_note(gw->entry, note);
	}
}

/*
 * Passes the newest note about the whole of a key to this instance's entry
 * again, if there is one.
 */
void
gw_redeliver_note(struct gw *gw, enum gw_note_kind kind, uint64_t key)
{
	const struct gw_note *note = gw_notes_find(gw->links->notes, kind, key);

	if (note != NULL)
		gw_entry_apply_note(gw->entry, note);
}

/*
 * Passes the outcomes of a Hello to the judge of roll-outs, if this instance
 * has one.
 */
static void
report_outcomes(struct gw_links *links, uint32_t from, const Clpb__Hello *hello)
{
	if (links->gw->judge == NULL)
		return;
	for (size_t i = 0; i < hello->n_outcomes; i++) {
		struct evidence_row row = {.source = hello->incarnation ^ from};

		if (gw_report_read_outcome(hello->outcomes[i], &row))
			gw_judge_add_report(links->gw->judge, &row);
		else
			log_event(LOG_LEVEL_WARN, "message_unreadable",
			    "kind=outcome");
	}
}

/*
 * Handles a Hello and answers it with News.  Only a subscriber is sent changes
 * of the registry: those after the last one that it has, or all if that one
 * belongs to an earlier incarnation of this process.
 */
static void
on_hello(struct gw_links *links, uint32_t from, const char *data_centre,
    const uint8_t *data, uint32_t len)
{
	Clpb__Hello *hello = clpb__hello__unpack(NULL, len, data);
	struct hello_sender *sender = get_sender(links, from);
	uint64_t after = 0;

	if (hello == NULL || sender == NULL) {
		clpb__hello__free_unpacked(hello, NULL);
		return;
	}
	sender->heard_us = loop_now_us(links->gw->loop);
	if (!hello->without_entry)
		gw_instance_count_mark_heard(
		    &links->instance_count, from, sender->heard_us);
	sender->subscribed = hello->subscribe;
	sender->data_centre = XXH64(data_centre, strlen(data_centre), 0);
	sender->takes_forwarded = hello->takes_forwarded;
	sender->takes_as_last_resort = hello->takes_as_last_resort;
	sender->cut_off = hello->cut_off;
	if (hello->keeps_state) {
		struct gw_peer *peer = gw_peers_get_or_add(&links->peers, from);

		if (peer != NULL)
			peer->heard_us = sender->heard_us;
	}
	report_outcomes(links, from, hello);
	accept_notes(links, from, hello->notes, hello->n_notes);
	accept_groups(links, from, hello->note_groups, hello->n_note_groups);
	accept_feed(
	    links, &sender->notes, hello->incarnation, hello->note_feed);
	compare_summary(links, &sender->notes, hello->note_sum);
	if (hello->feed == links->gw->incarnation)
		after = hello->change;
	if (hello->subscribe)
		send_news(links, sender, after);
	else
		send_news(
		    links, sender, registry_last_change(links->gw->registry));
	clpb__hello__free_unpacked(hello, NULL);
}

static void
set_forwarders(struct gw_links *links, const Clpb__News *news)
{
	links->forwarder_count = 0;
	for (size_t i = 0; i < news->n_forward_to && i < GW_FORWARDERS_MAX; i++)
		links->forwarders[links->forwarder_count++] =
		    news->forward_to[i];
}

/*
 * Sets whether this instance has lost its path to the servers of a service, and
 * tells the instances that serve control, which answer where it may forward
 * requests to.
 */
void
gw_set_cut_off(struct gw *gw, bool cut_off)
{
	struct gw_links *links = gw->links;

	if (links == NULL || links->cut_off == cut_off)
		return;
	links->cut_off = cut_off;
	links->forwarder_count = 0;
	schedule_hello(links, 0);
}

/*
 * Lists the instances to which this one may forward requests while it is cut
 * off.  Returns their number.
 */
uint32_t
gw_list_forwarders(const struct gw *gw, uint32_t out[GW_FORWARDERS_MAX])
{
	const struct gw_links *links = gw->links;

	if (links == NULL)
		return 0;
	memcpy(out, links->forwarders, links->forwarder_count * sizeof(out[0]));
	return links->forwarder_count;
}

/*
 * Applies what another instance has heard of a server.  An older build may pass
 * on what is rejected here.
 */
static void
accept_server(
    struct gw_links *links, uint32_t from, const struct registry_server *server)
{
	char name[GW_NAME_BYTES];

	if (registry_is_plausible(server, clock_wall_us() / 1000)) {
		(void)registry_update(
		    links->gw->registry, server, loop_now_us(links->gw->loop));
		return;
	}
	gw_format_address(from, name);
	log_event(LOG_LEVEL_WARN, "announcement_rejected",
	    "server=%s born_ms=%" PRIu64 " from=%s", server->id,
	    server->born_ms, name);
}

/*
 * Handles News: the sender's changes, control instances, notes and number of
 * entry instances.
 */
static void
on_news(struct gw_links *links, uint32_t from, bool same_data_centre,
    const uint8_t *data, uint32_t len)
{
	Clpb__News *news = clpb__news__unpack(NULL, len, data);
	int64_t now_us = loop_now_us(links->gw->loop);
	struct gw_peer *peer =
	    gw_peers_mark_heard(&links->peers, from, same_data_centre, now_us);
	struct registry_server server;
	struct rate_members members;

	if (news == NULL || peer == NULL) {
		clpb__news__free_unpacked(news, NULL);
		return;
	}
	if (peer->registry_incarnation != news->incarnation) {
		peer->registry_incarnation = news->incarnation;
		peer->last_change = 0;
	}
	for (size_t i = 0; i < news->n_servers; i++) {
		const Clpb__Server *pb = news->servers[i];

		if (pb->refreshed)
			(void)registry_refresh(links->gw->registry, pb->id,
			    pb->born_ms, pb->seq,
			    now_us - (int64_t)pb->age_ms * 1000, now_us);
		else if (gw_server_message_read(pb, now_us, &server))
			accept_server(links, from, &server);
	}
	/*
	 * After a lost message the changes have a gap.  The last change then
	 * stays, so that the next Hello requests the missing ones again.
	 */
	if (news->after <= peer->last_change &&
	    news->change > peer->last_change)
		peer->last_change = news->change;
	for (size_t i = 0; i < news->n_control; i++)
		(void)gw_peers_get_or_add(
		    &links->peers, (uint32_t)news->control[i]);
	if (news->n_forward_to > 0)
		set_forwarders(links, news);
	accept_notes(links, from, news->notes, news->n_notes);
	accept_groups(links, from, news->note_groups, news->n_note_groups);
	accept_feed(links, &peer->notes, news->incarnation, news->note_feed);
	compare_summary(links, &peer->notes, news->note_sum);
	members =
	    (struct rate_members){news->entry_instances, news->entry_place};
	gw_instance_count_add_report(&links->instance_count, &members, now_us);
	members = gw_entry_members(links->gw);
	if (links->gw->entry != NULL)
		gw_entry_set_members(links->gw->entry, &members, from);
	clpb__news__free_unpacked(news, NULL);
}

static void
on_message(void *ctx, const struct secure_peer *from, enum peer_channel channel,
    const uint8_t *data, uint32_t len)
{
	struct gw *gw = ctx;
	uint32_t instance = parse_address(from->instance);

	if (instance == 0)
		return;
	switch (channel) {
	case PEER_RLOG:
		if (gw->replica != NULL)
			gw_replica_log_message(gw->replica, data, len);
		break;
	case PEER_CONFIG:
		if (gw->order_follower != NULL)
			gw_follower_message(
			    gw->order_follower, instance, data, len);
		else if (gw->replica != NULL)
			gw_replica_config_message(
			    gw->replica, instance, data, len);
		break;
	case PEER_CLUSTER_HELLO:
		on_hello(gw->links, instance, from->data_centre, data, len);
		break;
	case PEER_CLUSTER_NEWS:
		on_news(gw->links, instance,
		    strcmp(from->data_centre, gw->settings->data_centre) == 0,
		    data, len);
		break;
	case PEER_CLUSTER_LOADS:
		gw_loads_receive(gw->loads, instance, data, len);
		break;
	default:
		break;
	}
}

static const struct peer_handler hub_handler = {on_message};

/* Records the announcement that a backend server sent to this instance. */
void
gw_server_announced(struct gw *gw, const struct registry_server *server)
{
	(void)registry_update(gw->registry, server, loop_now_us(gw->loop));
}

static void
server_changed(void *ctx, const struct registry_server *server,
    enum registry_verdict verdict)
{
	struct gw *gw = ctx;

	if (gw->entry != NULL)
		gw_entry_server_changed(gw->entry, server, verdict);
	if (gw->farewells != NULL)
		gw_farewells_server_changed(gw->farewells, server);
	/*
	 * Changes received from another instance go to this instance's
	 * subscribers too.  Repeated announcements are not urgent: they are
	 * collected and sent together.
	 */
	if (gw->links != NULL)
		schedule_push(gw->links, verdict == REGISTRY_CHANGED
					     ? PUSH_URGENT_DELAY_US
					     : PUSH_DELAY_US);
}

/* Sets the metrics of the links from the counters of the peer hub. */
void
gw_update_link_metrics(struct gw *gw)
{
	const struct peer_stats *stats = peer_stats(gw->links->hub);

	metrics_get(gw->metrics, METRICS_COUNTER,
	    "celeryford_peer_sent_bytes_total", "")
	    ->value = stats->sent_bytes;
	metrics_get(gw->metrics, METRICS_COUNTER,
	    "celeryford_peer_received_bytes_total", "")
	    ->value = stats->received_bytes;
	metrics_get(gw->metrics, METRICS_COUNTER,
	    "celeryford_peer_dropped_frames_total", "")
	    ->value = stats->dropped_frames;
	metrics_get(gw->metrics, METRICS_COUNTER,
	    "celeryford_peer_refused_links_total", "")
	    ->value = stats->refused_links;
}

static void
on_tick(void *ctx)
{
	struct gw_links *links = ctx;
	int64_t now_us = loop_now_us(links->gw->loop);

	registry_tick(links->gw->registry, now_us);
	if (serves_entry(links->gw))
		gw_instance_count_mark_heard(
		    &links->instance_count, links->gw->self, now_us);
	remove_silent(links, now_us);
	links->tick_timer =
	    loop_after(links->gw->loop, REGISTRY_TICK_US, on_tick, links);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_links *links = alloc_zero(gw->alloc, 1, sizeof(*links));
	struct registry_options registry = {gw->alloc, server_changed, gw};
	struct peer_options options = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .host = gw->settings->link_host,
	    .port = (uint16_t)gw->settings->link_port,
	    .handler = &hub_handler,
	    .ctx = gw};

	if (secure_keys_parse(gw->settings->cluster_key, &options.keys) != 0) {
		alloc_free(gw->alloc, links);
		return ERR_SETTING;
	}
	snprintf(options.self.instance, sizeof(options.self.instance), "%s",
	    gw->settings->link_host);
	snprintf(options.self.data_centre, sizeof(options.self.data_centre),
	    "%s", gw->settings->data_centre);
	options.self.incarnation = gw->incarnation;
	links->gw = gw;
	slot_index_init(&links->senders_by_instance, gw->alloc);
	gw_instance_count_init(
	    &links->instance_count, serves_control(gw), loop_now_us(gw->loop));
	links->peers.self = gw->self;
	links->peers.changed = peers_changed;
	links->peers.ctx = links;
	links->hub = peer_hub_new(&options);
	if (links->hub == NULL) {
		alloc_free(gw->alloc, links);
		return ERR_IO;
	}
	gw->registry = registry_new(&registry);
	links->notes = gw_notes_new(gw->alloc);
	gw->links = links;
	gw->loads = gw_loads_new(gw);
	if (serves_control(gw))
		(void)gw_peers_get_or_add(&links->peers, gw->self);
	gw_update_seeds(gw);
	schedule_hello(links, 0);
	links->tick_timer =
	    loop_after(gw->loop, REGISTRY_TICK_US, on_tick, links);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_links *links = gw->links;

	gw_loads_free(gw->loads);
	gw->loads = NULL;
	gw->links = NULL;
	loop_cancel(links->hello_timer);
	loop_cancel(links->push_timer);
	loop_cancel(links->tick_timer);
	peer_hub_free(links->hub);
	gw_notes_free(links->notes);
	slot_index_release(&links->senders_by_instance);
	registry_free(gw->registry);
	gw->registry = NULL;
	alloc_free(gw->alloc, links);
}

struct sup_child_spec
gw_child_links(struct gw *gw)
{
	return (struct sup_child_spec){"links", start, stop, gw};
}
