#ifndef CF_CTL_H
#define CF_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exit statuses of celeryfordctl; the man page lists them. */
enum ctl_status {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* the system answered with an error */
	/* Invalid arguments or environment, or an unreadable file */
	CTL_USAGE = 2,
	CTL_UNREACHABLE = 3, /* no answer; the outcome is unknown */
	CTL_CONFLICT = 4, /* a concurrent change was accepted first */
	CTL_INVALID = 5, /* the configuration document is invalid */
	/* Accepted, but not confirmed by every instance within wait_ms */
	CTL_UNCONFIRMED = 6
};

/* Options that stand before the command. */
struct ctl {
	const char *ops_url; /* operators' listener, "http://IP:PORT" */
	const char *operator_key; /* NULL: none */
	bool json; /* print JSON instead of tables */
	uint32_t wait_ms; /* for the confirmations of a change */
};

/* A command of one or two words. */
struct ctl_command {
	const char *words; /* "config apply" */
	const char *args; /* for the usage message */
	int args_min;
	int args_max;
	const char *help;
	/* Returns an exit status; argv holds the arguments only. */
	int (*run)(const struct ctl *ctl, int argc, char **argv);
};

extern const struct ctl_command ctl_commands[];
extern const size_t ctl_command_count;

/* http.c */
int ctl_get_json(const struct ctl *ctl, const char *path, json_t **out);
int ctl_get_text(const struct ctl *ctl, const char *path, struct buf *out);
int ctl_post_json(
    const struct ctl *ctl, const char *path, const json_t *body, json_t **out);

/* print.c */
void ctl_print_json(const json_t *json);
void ctl_print_table(const json_t *rows, const char *const *columns);
int ctl_fail(int status, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
int ctl_read_file(const char *path, struct buf *out);
void ctl_make_change_id(char out[40]);

/* change.c */
int ctl_set_section_keys(
    const struct ctl *ctl, const char *path, const char *const *pairs);
int ctl_send_change(const struct ctl *ctl, json_t *items, const char *id);
int ctl_get_document(const struct ctl *ctl, json_t **out);

/* Commands; each returns an exit status. */
int ctl_config_check(const struct ctl *ctl, int argc, char **argv);
int ctl_config_diff(const struct ctl *ctl, int argc, char **argv);
int ctl_config_apply(const struct ctl *ctl, int argc, char **argv);
int ctl_config_show(const struct ctl *ctl, int argc, char **argv);
int ctl_config_history(const struct ctl *ctl, int argc, char **argv);
int ctl_show_status(const struct ctl *ctl, int argc, char **argv);
int ctl_show_log(const struct ctl *ctl, int argc, char **argv);
int ctl_explain_request(const struct ctl *ctl, int argc, char **argv);
int ctl_explain_route(const struct ctl *ctl, int argc, char **argv);
int ctl_explain_log(const char *request, const char *path);
int ctl_drain_data_centre(const struct ctl *ctl, int argc, char **argv);
int ctl_return_data_centre(const struct ctl *ctl, int argc, char **argv);
int ctl_rollout_list(const struct ctl *ctl, int argc, char **argv);
int ctl_rollout_step(const struct ctl *ctl, int argc, char **argv);
int ctl_rollout_stop(const struct ctl *ctl, int argc, char **argv);
int ctl_rollout_withdraw(const struct ctl *ctl, int argc, char **argv);
int ctl_halts_list(const struct ctl *ctl, int argc, char **argv);
int ctl_halts_resolve(const struct ctl *ctl, int argc, char **argv);
int ctl_bills_export(const struct ctl *ctl, int argc, char **argv);
int ctl_bills_unsettled(const struct ctl *ctl, int argc, char **argv);
int ctl_data_check(const struct ctl *ctl, int argc, char **argv);
int ctl_data_dump(const struct ctl *ctl, int argc, char **argv);
int ctl_hash_key(const struct ctl *ctl, int argc, char **argv);
int ctl_completion(const struct ctl *ctl, int argc, char **argv);

#ifdef __cplusplus
}
#endif

#endif
