#include "common/config.h"
#include "common/config_schema.h"
#include "ctl/coverage.h"

/* More warnings would hide the rest of the command's output. */
#define COVERAGE_MAX_WARNINGS 5

static guint
coverage_warn_service(struct ctl *ctl, const struct config *config,
                      const struct config_service *service, guint count)
{
    for (size_t i = 0; i < service->instance_count; i++) {
        const struct config_instance *instance = &service->instances[i];
        if (config_instance_is_available(config, instance)) {
            continue;
        }
        count += 1;
        if (count <= COVERAGE_MAX_WARNINGS) {
            ctl_warn(ctl,
                     "%s.%s has no searcher that takes new work: each is "
                     "leaving or in a zone that is out",
                     service->name, instance->name);
        }
    }
    return count;
}

void
coverage_warn(struct ctl *ctl, const json_t *document)
{
    json_t *with_defaults = json_deep_copy(document);
    config_set_defaults(with_defaults);
    struct config *config = config_build(with_defaults);
    json_decref(with_defaults);
    guint count = 0;
    for (size_t i = 0; i < config->service_count; i++) {
        count =
            coverage_warn_service(ctl, config, &config->services[i], count);
    }
    if (count > COVERAGE_MAX_WARNINGS) {
        ctl_warn(ctl, "%u more instances have no such searcher",
                 count - COVERAGE_MAX_WARNINGS);
    }
    config_free(config);
}
