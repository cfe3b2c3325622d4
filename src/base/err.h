#ifndef CF_ERR_H
#define CF_ERR_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What is known about a request's execution when an error is returned. */
enum err_run_state {
	ERR_NOT_RUN, /* no byte of any attempt reached a backend server */
	ERR_MAY_HAVE_RUN, /* the outcome of an attempt is unknown */
	ERR_RAN /* an attempt is known to have run */
};

/*
 * All error kinds.  Each row has the enumerator, its negative number, the HTTP
 * status, whether the same request may be retried later, the name used in
 * responses, and the message.
 */
#define ERR_KINDS(X)                                                           \
	X(ERR_MALFORMED, -1, 400, 0, "malformed", "the request is malformed")  \
	X(ERR_NO_KEY, -2, 401, 0, "no_key",                                    \
	    "the API key is missing or unknown")                               \
	X(ERR_FORBIDDEN, -3, 403, 0, "forbidden",                              \
	    "the key does not give access to this")                            \
	X(ERR_UNKNOWN_MODEL, -4, 404, 0, "unknown_model",                      \
	    "no such model or version")                                        \
	X(ERR_NOT_FOUND, -5, 404, 0, "not_found", "no such resource")          \
	X(ERR_METHOD, -6, 405, 0, "method", "the method is not allowed here")  \
	X(ERR_TIMEOUT, -7, 504, 1, "timeout", "the deadline has passed")       \
	X(ERR_CONFLICT, -8, 409, 0, "conflict",                                \
	    "another change was accepted first")                               \
	X(ERR_TOO_LARGE, -9, 413, 0, "too_large",                              \
	    "the request is larger than allowed")                              \
	X(ERR_HEADER, -10, 431, 0, "header",                                   \
	    "a header is larger than allowed")                                 \
	X(ERR_RATE, -11, 429, 1, "rate", "the workspace is over its share")    \
	X(ERR_CRASHES, -12, 422, 0, "crashes",                                 \
	    "the request crashes backend servers")                             \
	X(ERR_IN_PROGRESS, -13, 409, 1, "in_progress",                         \
	    "a request with this key is running")                              \
	X(ERR_HALTED, -14, 409, 0, "halted",                                   \
	    "the outcome is unknown; operators decide")                        \
	X(ERR_DUPLICATE, -15, 409, 0, "duplicate",                             \
	    "a request with this key has run")                                 \
	X(ERR_NO_CAPACITY, -16, 503, 1, "no_capacity",                         \
	    "no backend server has room in time")                              \
	X(ERR_NO_SERVER, -17, 503, 1, "no_server",                             \
	    "no backend server runs this version")                             \
	X(ERR_NO_QUORUM, -18, 503, 1, "no_quorum",                             \
	    "too few state replicas are in reach")                             \
	X(ERR_ISOLATED, -19, 503, 1, "isolated", "this instance is isolated")  \
	X(ERR_SHUTDOWN, -20, 503, 1, "shutdown",                               \
	    "this instance is shutting down")                                  \
	X(ERR_UPSTREAM, -21, 502, 1, "upstream", "the backend server failed")  \
	X(ERR_UPSTREAM_CUT, -22, 502, 1, "upstream_cut",                       \
	    "the backend server's answer is cut")                              \
	X(ERR_SLOW_SENDER, -23, 408, 1, "slow_sender",                         \
	    "the request came too slowly")                                     \
	X(ERR_CALLER_GONE, -24, 499, 0, "caller_gone", "the caller went away") \
	X(ERR_NOT_LEADER, -25, 503, 1, "not_leader",                           \
	    "this replica is not the leader")                                  \
	X(ERR_DISK, -26, 500, 1, "disk", "the data folder failed")             \
	X(ERR_CORRUPT, -27, 500, 0, "corrupt",                                 \
	    "stored data does not match its checksum")                         \
	X(ERR_IO, -28, 500, 1, "io", "input or output failed")                 \
	X(ERR_VERSION, -29, 500, 0, "version",                                 \
	    "the format is of an unknown version")                             \
	X(ERR_AUTH, -30, 403, 0, "auth",                                       \
	    "the peer does not hold the cluster key")                          \
	X(ERR_INVALID, -31, 422, 0, "invalid", "the configuration is invalid") \
	X(ERR_STALE, -32, 409, 0, "stale",                                     \
	    "the fencing number is out of date")                               \
	X(ERR_SETTING, -33, 500, 0, "setting", "a setting is invalid")         \
	X(ERR_INTERNAL, -34, 500, 1, "internal",                               \
	    "an internal invariant failed")                                    \
	X(ERR_MEMORY, -35, 503, 1, "memory",                                   \
	    "the requests under way take too much memory")

#define ERR_AS_ENUM(kind, number, status, again, name, text) kind = (number),
enum err {
	ERR_OK = 0,
	ERR_KINDS(ERR_AS_ENUM) ERR_END = -36
};
#undef ERR_AS_ENUM

/* How an error kind is reported to a caller. */
struct err_answer {
	const char *name; /* as in responses, for example "no_capacity" */
	const char *text; /* message for people */
	uint16_t http_status;
	uint8_t try_again; /* 1 if the response carries Retry-After */
};

const struct err_answer *err_answer(int error);
const char *err_name(int error);
const char *err_run_state_name(enum err_run_state state);

#ifdef __cplusplus
}
#endif

#endif
