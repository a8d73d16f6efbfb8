#include <inttypes.h>

#include "ctl/vms.h"
#include "ctl/commands.h"
#include "ctl/publish.h"
#include "ctl/source.h"

#define STATUS_CALL_TIMEOUT_MS 2000

static void
status_print(struct ctl *ctl, const struct vm *vm)
{
    if (vm->status == NULL) {
        ctl_print(ctl, "%-16s no answer", vm->address);
        return;
    }
    static const char *const keys[] = {"zone", "state", "start", "revision",
                                       "digest"};
    GString *line = g_string_new(NULL);
    g_string_printf(line, "%-16s", vm_name(vm));
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        char *text = vm_status_text(vm, keys[i]);
        g_string_append_printf(line, " %s=%s", keys[i], text);
        g_free(text);
    }
    ctl_print(ctl, "%s", line->str);
    g_string_free(line, TRUE);
}

static void
status_add_vms(struct ctl *ctl, const struct vm *vms)
{
    json_t *list = json_array();
    for (guint i = 0; i < ctl->vm_count; i++) {
        status_print(ctl, &vms[i]);
        json_t *entry = json_pack("{s:s, s:b}", "address", vms[i].address,
                                  "answered", vms[i].status != NULL);
        if (vms[i].status != NULL) {
            json_object_set(entry, "status", vms[i].status);
        }
        json_array_append_new(list, entry);
    }
    json_object_set_new(ctl->result, "vms", list);
}

static bool
status_is_any_vm_behind(const struct ctl *ctl, const struct vm *vms,
                        int64_t revision)
{
    for (guint i = 0; i < ctl->vm_count; i++) {
        if (vms[i].status == NULL || vms[i].revision < revision) {
            return true;
        }
    }
    return false;
}

/*
 * status: prints the state of each VM and, with --store, the stored revision.
 * Returns CTL_NOT_IN_FORCE when a VM does not answer or has an older revision.
 */
enum ctl_exit
command_status(struct ctl *ctl, int argc, char **argv)
{
    struct vm *vms = vm_new(ctl);
    vm_read_status(ctl, vms, STATUS_CALL_TIMEOUT_MS);
    status_add_vms(ctl, vms);
    enum ctl_exit code = CTL_DONE;
    int64_t revision = 0;
    if (ctl->options.store != NULL) {
        struct object current;
        code = source_read_stored(ctl, &current);
        revision = object_revision(&current);
        if (code == CTL_DONE) {
            ctl_print(ctl, "%-16s revision=%" PRId64, "store", revision);
            json_object_set_new(ctl->result, "revision",
                                json_integer(revision));
        }
        object_clear(&current);
    }
    if (code == CTL_DONE && status_is_any_vm_behind(ctl, vms, revision)) {
        code = CTL_NOT_IN_FORCE;
    }
    vm_free(ctl, vms);
    return code;
}
