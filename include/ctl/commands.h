#ifndef CH_CTL_COMMANDS_H
#define CH_CTL_COMMANDS_H

#include "ctl/ctl.h"

/*
 * The commands of carobhatchctl: one function in ctl/commands/ per command,
 * and the table that describes them.
 */

/* Runs one command; argv[0] is its name. */
typedef enum ctl_exit (*command_run_cb)(struct ctl *ctl, int argc,
                                        char **argv);

enum ctl_exit command_apply(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_check(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_diff(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_status(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_watch(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_zone(struct ctl *ctl, int argc, char **argv);

/* Options that a command requires. */
enum command_need {
    COMMAND_NEED_BASE = 1,  /* --base */
    COMMAND_NEED_STORE = 2, /* --store */
    COMMAND_NEED_VMS = 4,   /* --gateways */
};

struct command {
    const char *name;
    const char *arguments; /* their description in messages and help */
    const char *help;
    command_run_cb run;
    unsigned needs; /* bits of enum command_need */
    int argument_count;
    int64_t timeout_ms; /* default of --timeout-ms; 0: no limit */
};

extern const struct command command_table[];
extern const size_t command_count;

#endif
