#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl/vms.h"
#include "ctl/call.h"
#include "ctl/commands.h"

#define WATCH_POLL_INTERVAL_MS 500
/* The event loop's clock counts whole ms, so a call may time out this much
 * before the deadline. */
#define WATCH_DEADLINE_MARGIN_MS 5

/* What was printed last, to print changes only. */
struct watch {
    struct ctl *ctl;
    int64_t store_version; /* of the object kind `config`; -1: none read yet */
    int64_t revision;      /* -1: none printed yet */
    bool is_store_up;
    char **states; /* one per VM, NULL: none printed yet */
};

/* The command only reads, so it may end at any point. */
static void
watch_on_interrupt(int signal)
{
    _exit(CTL_DONE);
}

/* Whether a call may have failed only because of --timeout-ms. Its failure is
 * then not reported. */
static bool
watch_is_deadline_reached(const struct watch *watch)
{
    return ctl_remaining_ms(watch->ctl, WATCH_DEADLINE_MARGIN_MS) <
           WATCH_DEADLINE_MARGIN_MS;
}

static void
watch_print(const struct watch *watch, json_t *event, const char *text)
{
    ctl_print(watch->ctl, "%s", text);
    if (watch->ctl->options.is_json) {
        char *line = json_dumps(event, JSON_COMPACT);
        (void)puts(line);
        (void)fflush(stdout);
        free(line);
    }
    json_decref(event);
}

static void
watch_update_store(struct watch *watch, bool is_up)
{
    if (watch->is_store_up == is_up) {
        return;
    }
    watch->is_store_up = is_up;
    watch_print(watch, json_pack("{s:b}", "store_answers", is_up),
                is_up ? "store answers" : "store does not answer");
}

static void
watch_update_revision(struct watch *watch, const json_t *reply)
{
    const json_t *items = json_object_get(reply, "items");
    watch->store_version =
        json_integer_value(json_object_get(reply, "version"));
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        int64_t revision = json_integer_value(
            json_object_get(json_object_get(item, "value"), "revision"));
        if (name == NULL || strcmp(name, "current") != 0 ||
            revision == watch->revision) {
            continue;
        }
        watch->revision = revision;
        char *text = g_strdup_printf("store revision=%" PRId64, revision);
        watch_print(watch,
                    json_pack("{s:I}", "store_revision", (json_int_t)revision),
                    text);
        g_free(text);
    }
}

static void
watch_poll_store(struct watch *watch)
{
    char *path = g_strdup_printf("/v1/config?after=%" PRId64 "&wait_ms=%d",
                                 watch->store_version, WATCH_POLL_INTERVAL_MS);
    struct call call = {
        .address = watch->ctl->options.store, .method = "GET", .path = path};
    call_run(&call, 1,
             ctl_remaining_ms(watch->ctl, WATCH_POLL_INTERVAL_MS + 2500));
    bool is_up = call_has_status(&call, 200);
    if (is_up) {
        watch_update_revision(watch, call.reply);
    }
    if (is_up || !watch_is_deadline_reached(watch)) {
        watch_update_store(watch, is_up);
    }
    call_clear(&call, 1);
    g_free(path);
    if (!is_up) {
        ctl_sleep(watch->ctl, WATCH_POLL_INTERVAL_MS);
    }
}

static char *
watch_format_state(const struct vm *vm)
{
    if (vm->status == NULL) {
        return g_strdup("no answer");
    }
    char *state = vm_status_text(vm, "state");
    char *start = vm_status_text(vm, "start");
    char *text = g_strdup_printf("state=%s revision=%" PRId64 " start=%s",
                                 state, vm->revision, start);
    g_free(state);
    g_free(start);
    return text;
}

static void
watch_update_vm(struct watch *watch, guint i, const struct vm *vm)
{
    char *state = watch_format_state(vm);
    if (g_strcmp0(watch->states[i], state) == 0) {
        g_free(state);
        return;
    }
    g_free(watch->states[i]);
    watch->states[i] = state;
    char *text = g_strdup_printf("%s %s", vm_name(vm), state);
    json_t *event = json_pack("{s:s, s:b}", "vm", vm->address, "answered",
                              vm->status != NULL);
    if (vm->status != NULL) {
        json_object_set(event, "status", vm->status);
    }
    watch_print(watch, event, text);
    g_free(text);
}

static void
watch_poll_vms(struct watch *watch)
{
    struct vm *vms = vm_new(watch->ctl);
    vm_read_status(watch->ctl, vms, 1000);
    for (guint i = 0; i < watch->ctl->vm_count; i++) {
        if (vms[i].status != NULL || !watch_is_deadline_reached(watch)) {
            watch_update_vm(watch, i, &vms[i]);
        }
    }
    vm_free(watch->ctl, vms);
}

/*
 * watch: prints each change of a VM's state and each new stored revision,
 * until it is interrupted or the deadline has passed. The VMs are polled; the
 * store is read with a long poll of WATCH_POLL_INTERVAL_MS.
 */
enum ctl_exit
command_watch(struct ctl *ctl, int argc, char **argv)
{
    struct sigaction action = {.sa_handler = watch_on_interrupt};
    (void)sigaction(SIGINT, &action, NULL);
    (void)sigaction(SIGTERM, &action, NULL);
    struct watch watch = {
        .ctl = ctl,
        .store_version = -1,
        .revision = -1,
        .is_store_up = true,
        .states = g_new0(char *, ctl->vm_count + 1),
    };
    while (ctl_remaining_ms(ctl, 1) > 0) {
        watch_poll_vms(&watch);
        if (ctl->options.store != NULL) {
            watch_poll_store(&watch);
        }
        else {
            ctl_sleep(ctl, WATCH_POLL_INTERVAL_MS);
        }
    }
    for (guint i = 0; i < ctl->vm_count; i++) {
        g_free(watch.states[i]);
    }
    g_free(watch.states);
    return CTL_DONE;
}
