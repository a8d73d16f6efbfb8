#include <inttypes.h>
#include <stdlib.h>

#include "common/rc.h"
#include "ctl/vms.h"
#include "ctl/call.h"
#include "ctl/files.h"

#define VM_CALL_TIMEOUT_MS 1000
#define VM_POLL_INTERVAL_MS 100
/* How often a configuration is posted again to VMs that do not have it. */
#define VM_REPOST_INTERVAL_US (1000 * INT64_C(1000))

struct vm *
vm_new(const struct ctl *ctl)
{
    struct vm *vms = g_new0(struct vm, ctl->vm_count);
    for (guint i = 0; i < ctl->vm_count; i++) {
        vms[i].address = ctl->vms[i];
    }
    return vms;
}

void
vm_free(const struct ctl *ctl, struct vm *vms)
{
    for (guint i = 0; i < ctl->vm_count; i++) {
        json_decref(vms[i].status);
    }
    g_free(vms);
}

char *
vm_status_text(const struct vm *vm, const char *key)
{
    const json_t *value = json_object_get(vm->status, key);
    if (value == NULL || json_is_string(value)) {
        return g_strdup(value != NULL ? json_string_value(value) : "-");
    }
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

const char *
vm_name(const struct vm *vm)
{
    const char *name =
        json_string_value(json_object_get(vm->status, "machine"));
    return name != NULL ? name : vm->address;
}

struct vm_batch {
    struct call *calls;
    struct vm **vms; /* the VM that each call goes to */
    size_t count;
};

/* Sends the same call to all VMs that are not done. */
static void
vm_call_pending(const struct ctl *ctl, struct vm *vms, const struct call *call,
                struct vm_batch *out, int64_t timeout_ms)
{
    *out = (struct vm_batch){
        .calls = g_new0(struct call, ctl->vm_count),
        .vms = g_new0(struct vm *, ctl->vm_count),
    };
    for (guint i = 0; i < ctl->vm_count; i++) {
        if (!vms[i].is_done) {
            out->calls[out->count] = *call;
            out->calls[out->count].address = vms[i].address;
            out->vms[out->count] = &vms[i];
            out->count += 1;
        }
    }
    call_run(out->calls, out->count, ctl_remaining_ms(ctl, timeout_ms));
}

static void
vm_batch_clear(struct vm_batch *batch)
{
    call_clear(batch->calls, batch->count);
    g_free(batch->calls);
    g_free(batch->vms);
}

void
vm_read_status(const struct ctl *ctl, struct vm *vms, int64_t timeout_ms)
{
    struct call call = {.method = "GET", .path = "/status"};
    struct vm_batch batch;
    vm_call_pending(ctl, vms, &call, &batch, timeout_ms);
    for (size_t i = 0; i < batch.count; i++) {
        struct vm *vm = batch.vms[i];
        json_decref(vm->status);
        vm->status = NULL;
        vm->revision = 0;
        if (call_has_status(&batch.calls[i], 200)) {
            vm->status = json_incref(batch.calls[i].reply);
            vm->revision =
                json_integer_value(json_object_get(vm->status, "revision"));
        }
    }
    vm_batch_clear(&batch);
}

static void
vm_post(const struct ctl *ctl, struct vm *vms, const char *body)
{
    struct call call = {.method = "POST", .path = "/config", .body = body};
    struct vm_batch batch;
    vm_call_pending(ctl, vms, &call, &batch, VM_CALL_TIMEOUT_MS);
    vm_batch_clear(&batch);
}

/* Sets `is_done` where the condition holds. Returns how many are not done. */
static guint
vm_update_done(const struct ctl *ctl, struct vm *vms, vm_is_done_cb is_done,
               const void *ctx)
{
    guint pending = 0;
    for (guint i = 0; i < ctl->vm_count; i++) {
        struct vm *vm = &vms[i];
        vm->is_done = vm->is_done || (vm->status != NULL && is_done(vm, ctx));
        pending += !vm->is_done;
    }
    return pending;
}

static void
vm_report(struct ctl *ctl, const struct vm *vms)
{
    json_t *in_force = json_array();
    json_t *behind = json_array();
    for (guint i = 0; i < ctl->vm_count; i++) {
        const struct vm *vm = &vms[i];
        json_array_append_new(vm->is_done ? in_force : behind,
                              json_string(vm_name(vm)));
        if (vm->is_done) {
            ctl_print(ctl, "in force: %s", vm_name(vm));
        }
        else if (vm->status == NULL) {
            ctl_print(ctl, "not in force: %s (no answer)", vm->address);
        }
        else {
            ctl_print(ctl, "not in force: %s (revision %" PRId64 ")",
                      vm_name(vm), vm->revision);
        }
    }
    json_object_set_new(ctl->result, "in_force", in_force);
    json_object_set_new(ctl->result, "not_in_force", behind);
}

enum ctl_exit
vm_wait(struct ctl *ctl, const char *config_body, vm_is_done_cb is_done,
        const void *ctx)
{
    if (ctl->vm_count == 0) {
        ctl_warn(ctl, "no --gateways: whether it is in force is not known");
        return CTL_DONE;
    }
    struct vm *vms = vm_new(ctl);
    int64_t posted_us = ctl_now_us() - VM_REPOST_INTERVAL_US;
    guint pending = ctl->vm_count;
    while (pending > 0 && ctl_remaining_ms(ctl, 1) > 0) {
        if (config_body != NULL &&
            ctl_now_us() - posted_us >= VM_REPOST_INTERVAL_US) {
            vm_post(ctl, vms, config_body);
            posted_us = ctl_now_us();
        }
        vm_read_status(ctl, vms, VM_CALL_TIMEOUT_MS);
        pending = vm_update_done(ctl, vms, is_done, ctx);
        if (pending > 0) {
            ctl_sleep(ctl, VM_POLL_INTERVAL_MS);
        }
    }
    vm_report(ctl, vms);
    vm_free(ctl, vms);
    return pending > 0 ? CTL_NOT_IN_FORCE : CTL_DONE;
}

static bool
vm_has_revision(const struct vm *vm, const void *ctx)
{
    const int64_t *revision = ctx;
    return vm->revision >= *revision;
}

enum ctl_exit
vm_roll_out(struct ctl *ctl, const json_t *document)
{
    int64_t revision =
        json_integer_value(json_object_get(document, "revision"));
    json_t *envelope = json_pack("{s:I, s:O}", "revision",
                                 (json_int_t)revision, "document", document);
    char *body = files_encode(envelope);
    json_decref(envelope);
    enum ctl_exit code = vm_wait(ctl, body, vm_has_revision, &revision);
    free(body);
    return code;
}
