#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/coverage.h"
#include "ctl/source.h"

static size_t
check_count_instances(const json_t *services)
{
    size_t count = 0;
    for (size_t i = 0; i < json_array_size(services); i++) {
        count += json_array_size(
            json_object_get(json_array_get(services, i), "instances"));
    }
    return count;
}

static void
check_report(struct ctl *ctl, const struct files_document *document)
{
    const json_t *services = json_object_get(document->root, "services");
    char *text = files_encode(document->root);
    ctl_print(
        ctl,
        "valid: cluster %s, %zu zones, %zu services, %zu instances, %zu bytes",
        json_string_value(json_object_get(document->root, "cluster")),
        json_array_size(json_object_get(document->root, "zones")),
        json_array_size(services), check_count_instances(services),
        strlen(text));
    json_object_set_new(ctl->result, "bytes",
                        json_integer((json_int_t)strlen(text)));
    json_object_set(ctl->result, "document", document->root);
    free(text);
}

/* check: checks the operators' files without the store and the VMs. */
enum ctl_exit
command_check(struct ctl *ctl, int argc, char **argv)
{
    struct files_document document = {.root = NULL};
    enum ctl_exit code = source_load_files(ctl, &document);
    if (code != CTL_DONE) {
        return code;
    }
    check_report(ctl, &document);
    coverage_warn(ctl, document.root);
    files_clear(&document);
    return CTL_DONE;
}
