#include "common/config.h"
#include "common/config_schema.h"
#include "ctl/coverage.h"

/* More lines would hide the output of the command. */
#define COVER_MAX_WARNINGS 5

static guint
cov_warn_service(struct ctl *ctl, const struct cfg *cfg,
                 const struct cfg_service *service, guint count)
{
    for (size_t i = 0; i < service->instance_count; i++) {
        const struct cfg_instance *instance = &service->instances[i];
        if (cfg_instance_is_served(cfg, instance)) {
            continue;
        }
        count += 1;
        if (count <= COVER_MAX_WARNINGS) {
            ctl_warn(ctl,
                     "%s.%s has no searcher that takes new work: each is "
                     "leaving or in a zone that is out",
                     service->name, instance->name);
        }
    }
    return count;
}

void
cov_warn(struct ctl *ctl, const json_t *document)
{
    json_t *whole = json_deep_copy(document);
    cfg_set_defaults(whole);
    struct cfg *cfg = cfg_build(whole);
    json_decref(whole);
    guint count = 0;
    for (size_t i = 0; i < cfg->service_count; i++) {
        count = cov_warn_service(ctl, cfg, &cfg->services[i], count);
    }
    if (count > COVER_MAX_WARNINGS) {
        ctl_warn(ctl, "%u more instances have no such searcher",
                 count - COVER_MAX_WARNINGS);
    }
    cfg_free(cfg);
}
