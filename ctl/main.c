#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/net.h"
#include "common/rc.h"
#include "ctl/commands.h"

static char *
main_summary(void)
{
    GString *text = g_string_new("Commands:");
    for (size_t i = 0; i < command_count; i++) {
        const struct command *cmd = &command_table[i];
        char *usage = g_strdup_printf("%s %s", cmd->name, cmd->arguments);
        g_string_append_printf(text, "\n  %-18s %s", usage, cmd->help);
        g_free(usage);
    }
    return g_string_free(text, FALSE);
}

static const struct command *
main_find_command(const char *name)
{
    for (size_t i = 0; i < command_count; i++) {
        if (strcmp(command_table[i].name, name) == 0) {
            return &command_table[i];
        }
    }
    return NULL;
}

/* The first option that the command requires and that is not set, or NULL. */
static const char *
main_missing_option(const struct ctl *ctl, const struct command *cmd)
{
    if ((cmd->needs & COMMAND_NEED_BASE) != 0 && ctl->options.base == NULL) {
        return "--base";
    }
    if ((cmd->needs & COMMAND_NEED_STORE) != 0 && ctl->options.store == NULL) {
        return "--store";
    }
    if ((cmd->needs & COMMAND_NEED_VMS) != 0 && ctl->vm_count == 0) {
        return "--gateways";
    }
    return NULL;
}

static enum ctl_exit
main_check_vms(struct ctl *ctl)
{
    for (guint i = 0; i < ctl->vm_count; i++) {
        struct sockaddr_in address;
        if (net_parse(ctl->vms[i], &address) != RC_OK) {
            return ctl_fail(ctl, CTL_USAGE, RC_USAGE,
                            "--gateways: '%s' is not IPV4:PORT", ctl->vms[i]);
        }
    }
    return CTL_DONE;
}

static enum ctl_exit
main_run(struct ctl *ctl, int argc, char **argv)
{
    if (argc == 0) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE,
                        "a command is needed; see --help");
    }
    const struct command *cmd = main_find_command(argv[0]);
    if (cmd == NULL) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE,
                        "'%s' is not a command; see --help", argv[0]);
    }
    if (argc - 1 != cmd->argument_count) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE, "%s takes %d arguments%s%s",
                        cmd->name, cmd->argument_count,
                        cmd->argument_count > 0 ? ": " : "", cmd->arguments);
    }
    const char *missing = main_missing_option(ctl, cmd);
    if (missing != NULL) {
        return ctl_fail(ctl, CTL_USAGE, RC_USAGE, "%s needs %s", cmd->name,
                        missing);
    }
    int64_t timeout_ms = ctl->options.timeout_ms > 0 ? ctl->options.timeout_ms
                                                     : cmd->timeout_ms;
    ctl->deadline_us =
        timeout_ms > 0 ? ctl_now_us() + timeout_ms * 1000 : INT64_MAX / 2;
    enum ctl_exit code = main_check_vms(ctl);
    return code == CTL_DONE ? cmd->run(ctl, argc, argv) : code;
}

static void
main_print_result(const struct ctl *ctl)
{
    /* `watch` prints JSON events itself and leaves the result empty. */
    if (ctl->options.is_json && json_object_size(ctl->result) > 0) {
        char *text = json_dumps(ctl->result, JSON_COMPACT | JSON_SORT_KEYS);
        (void)puts(text);
        free(text);
    }
}

int
main(int argc, char **argv)
{
    /* A peer may close its connection at any time. */
    (void)signal(SIGPIPE, SIG_IGN);
    struct ctl ctl = {.result = json_object()};
    char *summary = main_summary();
    enum ctl_exit code = CTL_USAGE;
    if (ctl_options_parse(&ctl.options, &argc, &argv, summary) == RC_OK) {
        const char *vms = ctl.options.gateways;
        ctl.vms = g_strsplit(vms != NULL ? vms : "", ",", -1);
        ctl.vm_count = g_strv_length(ctl.vms);
        code = main_run(&ctl, argc - 1, argv + 1);
        main_print_result(&ctl);
        g_strfreev(ctl.vms);
    }
    ctl_options_clear(&ctl.options);
    json_decref(ctl.result);
    g_free(summary);
    return (int)code;
}
