#include <arpa/inet.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flags.h"
#include "relay.h"
#include "serve.h"

struct options {
	const char *listen;
	const char *to;
	struct flag_list links;
	const char *control;
	int64_t delay_ms;
};

static const struct flag flags[] = {
    {"listen", FLAG_TEXT, offsetof(struct options, listen), 0, NULL,
	"address to accept on, IP:PORT"},
    {"to", FLAG_TEXT, offsetof(struct options, to), 0, NULL,
	"address to relay to, IP:PORT"},
    {"link", FLAG_LIST, offsetof(struct options, links), 0, NULL,
	"IP:PORT=IP:PORT, one more address and where it leads"},
    {"control", FLAG_TEXT, offsetof(struct options, control), 0, NULL,
	"address of the control requests, IP:PORT; none without it"},
    {"delay-ms", FLAG_NUMBER, offsetof(struct options, delay_ms), 0, NULL,
	"one-way delay from the start"}};

static volatile sig_atomic_t stop_asked;

static void
on_signal(int number)
{
	stop_asked = 1;
}

static enum MHD_Result
send_counts(struct relay *relay, struct MHD_Connection *connection)
{
	const struct relay_counts *c = relay_counts(relay);
	char body[256];

	snprintf(body, sizeof(body),
	    "{\"connections\":%llu,\"open\":%llu,\"resets\":%llu,"
	    "\"bytes_up\":%llu,\"bytes_down\":%llu}\n",
	    (unsigned long long)c->connections, (unsigned long long)c->open,
	    (unsigned long long)c->resets,
	    (unsigned long long)c->bytes[RELAY_UP],
	    (unsigned long long)c->bytes[RELAY_DOWN]);
	return serve_json(connection, 200, body, NULL, NULL);
}

/* Cuts the link, or holds the direction that the request names. */
static bool
control_cut(struct relay *relay, struct MHD_Connection *connection)
{
	const char *direction = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "way");

	if (direction == NULL)
		relay_cut(relay);
	else if (strcmp(direction, "up") == 0)
		relay_hold(relay, RELAY_UP);
	else if (strcmp(direction, "down") == 0)
		relay_hold(relay, RELAY_DOWN);
	else
		return false;
	return true;
}

/* Isolates the client address that the request names. */
static bool
control_isolate(struct relay *relay, struct MHD_Connection *connection)
{
	static const char *const kinds[] = {"silent", "reset", "new"};
	const char *from = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "from");
	const char *kind = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "kind");
	struct in_addr address;

	if (from == NULL || kind == NULL ||
	    inet_pton(AF_INET, from, &address) != 1)
		return false;
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(kind, kinds[i]) == 0)
			return relay_isolate(relay, &address,
				   (enum relay_isolation)i) == 0;
	}
	return false;
}

/* Executes a control request; returns false if it is unknown. */
static bool
execute_control(struct relay *relay, const struct serve_request *request)
{
	int64_t ms;

	if (strcmp(request->path, "/cut") == 0)
		return control_cut(relay, request->connection);
	if (strcmp(request->path, "/isolate") == 0)
		return control_isolate(relay, request->connection);
	if (strcmp(request->path, "/mend") == 0) {
		relay_mend(relay);
		return true;
	}
	if (strcmp(request->path, "/freeze") == 0) {
		relay_hold(relay, RELAY_UP);
		relay_hold(relay, RELAY_DOWN);
		return true;
	}
	ms = serve_query_number(request->connection, "ms");
	if (strcmp(request->path, "/delay") != 0 || ms < 0)
		return false;
	relay_set_delay(relay, ms * 1000);
	return true;
}

static enum MHD_Result
on_control(void *ctx, const struct serve_request *request)
{
	struct relay *relay = ctx;

	if (strcmp(request->method, "GET") == 0)
		return send_counts(relay, request->connection);
	if (strcmp(request->method, "POST") != 0 ||
	    !execute_control(relay, request))
		return serve_json(request->connection, 404, "{}\n", NULL, NULL);
	return send_counts(relay, request->connection);
}

/*
 * Adds a route and prints its address; exits if an address is invalid or can't
 * be listened on.
 */
static void
add_route(struct relay *relay, const char *listen, const char *to)
{
	struct sockaddr_in listen_on, to_address;
	int port;

	if (!flags_parse_address(listen, &listen_on) ||
	    !flags_parse_address(to, &to_address)) {
		fprintf(stderr, "cf-relay: %s to %s: IP:PORT is needed\n",
		    listen, to);
		exit(2);
	}
	port = relay_add_route(relay, &listen_on, &to_address);
	if (port < 0) {
		fprintf(stderr, "can't listen on %s\n", listen);
		exit(1);
	}
	serve_print_address("relays", listen, (uint16_t)port, NULL);
}

/* Adds the routes of --listen, --to and --link. */
static void
add_routes(struct relay *relay, const struct options *options)
{
	char listen[64];
	const char *to;
	int i;

	if (options->listen != NULL && options->to != NULL)
		add_route(relay, options->listen, options->to);
	for (i = 0; i < options->links.count; i++) {
		to = strchr(options->links.items[i], '=');
		if (to == NULL)
			to = "=";
		snprintf(listen, sizeof(listen), "%.*s",
		    (int)strcspn(options->links.items[i], "="),
		    options->links.items[i]);
		add_route(relay, listen, to + 1);
	}
}

int
main(int argc, char **argv)
{
	struct options options = {0};
	struct MHD_Daemon *daemon = NULL;
	struct tool_loop *loop;
	struct relay *relay;

	flags_parse(argc, argv, "A TCP relay that can cut, freeze or delay.",
	    flags, sizeof(flags) / sizeof(flags[0]), &options);
	if ((options.listen == NULL || options.to == NULL) &&
	    options.links.count == 0) {
		fprintf(stderr,
		    "cf-relay: --listen and --to, or --link, are needed\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	loop = tool_loop_new();
	relay = relay_new(loop);
	add_routes(relay, &options);
	relay_set_delay(relay, options.delay_ms * 1000);
	if (options.control != NULL) {
		daemon = serve_start(loop, options.control, on_control, relay);
		if (daemon == NULL)
			return 1;
	}
	while (!stop_asked)
		tool_loop_poll_once(
		    loop, relay_flush_due(relay, tool_loop_now_us()));
	relay_free(relay);
	if (daemon != NULL)
		MHD_stop_daemon(daemon);
	tool_loop_free(loop);
	return 0;
}
