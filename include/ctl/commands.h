#ifndef CH_CTL_COMMANDS_H
#define CH_CTL_COMMANDS_H

#include "ctl/ctl.h"

/* Runs one command; argv[0] is its name. */
typedef enum ctl_exit (*command_run_cb)(struct ctl *ctl, int argc,
                                        char **argv);

enum ctl_exit command_apply(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_check(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_diff(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_status(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_watch(struct ctl *ctl, int argc, char **argv);
enum ctl_exit command_zone(struct ctl *ctl, int argc, char **argv);

/* What a command cannot do without. */
enum command_need {
    COMMAND_NEED_BASE = 1,
    COMMAND_NEED_STORE = 2,
    COMMAND_NEED_VMS = 4,
};

struct command {
    const char *name;
    const char *arguments;
    const char *help;
    command_run_cb run;
    unsigned needs; /* bits of enum command_need */
    int argument_count;
    int64_t timeout_ms; /* without --timeout-ms; 0: no limit */
};

extern const struct command command_table[];
extern const size_t command_count;

#endif
