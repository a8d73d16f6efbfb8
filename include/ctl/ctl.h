#ifndef CH_CTL_CTL_H
#define CH_CTL_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Settings, deadline and output of one run of carobhatchctl. main() owns
 * them and passes them to the command. Times are in us on the monotonic clock.
 */

/* Exit codes of carobhatchctl. */
enum ctl_exit {
    CTL_DONE = 0,
    CTL_REFUSED = 1,      /* refused or failed; nothing was changed */
    CTL_USAGE = 2,        /* wrong flag or argument, or an invalid file */
    CTL_UNKNOWN = 3,      /* the store did not give a usable answer */
    CTL_NOT_IN_FORCE = 4, /* accepted, but not yet in force everywhere */
};

struct ctl_options {
    char *base;
    char *overlay;
    char *store;
    char *gateways; /* IPV4:PORT of the VMs' HTTP servers, comma-separated */
    bool is_json;
    int64_t timeout_ms;      /* 0: the command's default */
    int64_t expect_revision; /* -1: any */
};

struct ctl {
    struct ctl_options options;
    char **vms; /* addresses of --gateways, NULL-terminated */
    guint vm_count;
    int64_t deadline_us; /* on the clock of ctl_now_us() */
    json_t *result;      /* printed at the end with --json */
};

/*
 * Reads the environment and the command line; `*argv` keeps the command and
 * its arguments. Returns RC_OK or RC_USAGE.
 */
int ctl_options_parse(struct ctl_options *options, int *argc, char ***argv,
                      const char *summary);

void ctl_options_clear(struct ctl_options *options);

/* Time on the monotonic clock. */
int64_t ctl_now_us(void);

/* Time until the deadline, rounded up, at least 0 and at most `max_ms`. */
int64_t ctl_remaining_ms(const struct ctl *ctl, int64_t max_ms);

/* Sleeps for `duration_ms`, at most until the deadline. */
void ctl_sleep(const struct ctl *ctl, int64_t duration_ms);

/* Prints a line to stdout, unless --json is given. */
void ctl_print(const struct ctl *ctl, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints a warning to stderr and adds it to `warnings` of the result. */
void ctl_warn(struct ctl *ctl, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * Reports a failure on stderr as "NAME: text", where NAME is the result code's
 * name, and in the result. Returns the exit code.
 */
enum ctl_exit ctl_fail(struct ctl *ctl, enum ctl_exit code, int rc,
                       const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
