#include "ctl/commands.h"

#define DEFAULT_TIMEOUT_MS 10000

const struct command command_table[] = {
    {"check", "", "check the files", command_check, COMMAND_NEED_BASE, 0,
     DEFAULT_TIMEOUT_MS},
    {"diff", "", "print what apply would change", command_diff,
     COMMAND_NEED_BASE | COMMAND_NEED_STORE, 0, DEFAULT_TIMEOUT_MS},
    {"apply", "", "store the files and send them to the VMs", command_apply,
     COMMAND_NEED_BASE | COMMAND_NEED_STORE, 0, DEFAULT_TIMEOUT_MS},
    {"status", "", "print revision and state of the VMs", command_status,
     COMMAND_NEED_VMS, 0, DEFAULT_TIMEOUT_MS},
    {"zone", "out|in NAME", "take a zone out of service or back", command_zone,
     COMMAND_NEED_STORE, 2, DEFAULT_TIMEOUT_MS},
    {"watch", "", "print new revisions and states of the VMs", command_watch,
     COMMAND_NEED_VMS, 0, 0},
};
const size_t command_count = G_N_ELEMENTS(command_table);
