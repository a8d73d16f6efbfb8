#include <inttypes.h>
#include <string.h>

#include "common/json_room.h"
#include "common/log.h"
#include "common/rc.h"
#include "gateway/apply.h"

/* Of a backend server beside its struct and its strings: their blocks, its
 * list of links and its places in two tables, also if its service has no other
 * one. */
#define APPLY_BACKEND_BYTES 480
/* Of a data centre: its place in the table. */
#define APPLY_DC_BYTES 100
/* The tables made of a configuration take at most this part of its values. */
#define APPLY_CONFIG_DIVISOR 2

static void
apply_config(struct app *app, const struct cache_object *object)
{
    struct gateway_config *config = NULL;
    if (object->is_deleted) {
        return;
    }
    int rc = app->wire->read_config(object, &config);
    if (rc == RC_INVALID) {
        counter_add(app->counters, "gateway_configs_dropped", "invalid");
    }
    if (rc != RC_OK) {
        return;
    }
    int64_t version = config->version;
    if (gateway_apply_config(&app->gateway, config) == RC_STALE) {
        counter_add(app->counters, "gateway_configs_dropped", "stale");
        log_info("config",
                 "version is not above the one in force, not applied "
                 "version=%" PRId64 " in_force=%" PRId64,
                 version, app_config_version(app));
    }
    else if (app->front->on_config != NULL) {
        app->front->on_config(app, app_now_us());
    }
}

static void
apply_backend(struct app *app, const struct cache_object *object,
              int64_t remove_us, int64_t now_us)
{
    struct backend_entry entry;
    const char *bad_field = NULL;
    if (!object->is_deleted &&
        app->wire->read_backend(object, &entry, &bad_field) == RC_OK) {
        log_info("backend",
                 "entry changed id=%s service=%s address=%s dc=%s draining=%d "
                 "warmup_ms=%" PRId64 " era=%" PRId64 " revision=%" PRId64,
                 entry.id, entry.service, entry.address, entry.dc,
                 entry.is_draining, entry.warmup_left_us / 1000,
                 object->position.era, object->position.revision);
        entry.era = object->position.era;
        bool is_new = backend_find(&app->gateway.backends, entry.id) == NULL;
        backend_update(&app->gateway.backends, &entry, now_us);
        if (is_new && !app->wire->reports_warmup &&
            app->sync.feeds[OBJECT_BACKENDS].cache.has_list) {
            gateway_on_new_backend(&app->gateway, entry.id, now_us);
        }
        return;
    }
    if (bad_field != NULL) {
        counter_add(app->counters, "gateway_entries_refused", bad_field);
        log_warn("backend", "entry is not used id=%s wrong_field=%s",
                 object->name, bad_field);
    }
    log_info("backend",
             "entry deleted or not used id=%s remove_in_ms=%" PRId64,
             object->name, (remove_us - now_us) / 1000);
    backend_expire(&app->gateway.backends, object->name, remove_us);
}

void
apply_object(enum object_kind kind, const struct cache_object *object,
             int64_t remove_us, int64_t now_us, void *ctx)
{
    struct app *app = ctx;
    switch (kind) {
    case OBJECT_CONFIG:
        apply_config(app, object);
        break;
    case OBJECT_BACKENDS:
        apply_backend(app, object, remove_us, now_us);
        break;
    case OBJECT_DRAINED_DCS:
        log_info("drain", "data centre drain state changed dc=%s out=%d",
                 object->name, !object->is_deleted);
        if (object->is_deleted) {
            g_hash_table_remove(app->gateway.drained_dcs, object->name);
            if (!app->wire->reports_warmup) {
                gateway_on_dc_undrained(&app->gateway, object->name, now_us);
            }
        }
        else {
            g_hash_table_add(app->gateway.drained_dcs, g_strdup(object->name));
        }
        break;
    case OBJECT_KIND_COUNT:
        break;
    }
}

/* The version of the configuration never goes back. */
static bool
apply_config_outlives(const struct app *app, const struct cache_object *held,
                      const struct cache_object *listed, enum cache_past what)
{
    if (app->wire->read_version == NULL) {
        return false;
    }
    int64_t held_version = app->wire->read_version(held);
    int64_t listed_version = app->wire->read_version(listed);
    if (held_version > listed_version && what == CACHE_PAST_IN_FORCE) {
        log_warn("config",
                 "the store has an older version, the known one stays in "
                 "force version=%" PRId64 " store_version=%" PRId64
                 " era=%" PRId64 " revision=%" PRId64,
                 held_version, listed_version, listed->position.era,
                 listed->position.revision);
    }
    return held_version > listed_version;
}

/* An earlier process does not come back, and one that was draining does not
 * become ready again. One that was deleted stays so. */
static bool
apply_backend_outlives(const struct app *app, const struct cache_object *held,
                       const struct cache_object *listed, bool was_deleted)
{
    struct backend_entry before;
    struct backend_entry after;
    const char *bad_field = NULL;
    if (app->wire->read_backend(held, &before, &bad_field) != RC_OK ||
        app->wire->read_backend(listed, &after, &bad_field) != RC_OK) {
        return false;
    }
    bool is_same = before.started_unix_ms == after.started_unix_ms;
    bool stays = was_deleted || (before.is_draining && !after.is_draining);
    return before.started_unix_ms > after.started_unix_ms ||
           (is_same && stays);
}

bool
apply_outlives(enum object_kind kind, const struct cache_object *held,
               const struct cache_object *listed, enum cache_past what,
               void *ctx)
{
    const struct app *app = ctx;
    switch (kind) {
    case OBJECT_CONFIG:
        return apply_config_outlives(app, held, listed, what);
    case OBJECT_BACKENDS:
        /* What was written again counts. */
        return what != CACHE_PAST_KEPT &&
               apply_backend_outlives(app, held, listed,
                                      what == CACHE_PAST_DELETED);
    case OBJECT_DRAINED_DCS:
    case OBJECT_KIND_COUNT:
        break;
    }
    return false;
}

/* The service names its backend servers under a name of its own. */
static uint64_t
apply_backend_bytes(const struct app *app, const struct cache_object *object)
{
    struct backend_entry entry;
    const char *bad_field = NULL;
    if (app->wire->read_backend(object, &entry, &bad_field) != RC_OK) {
        return 0;
    }
    return sizeof(struct backend) + APPLY_BACKEND_BYTES + strlen(entry.id) +
           2 * strlen(entry.service) + strlen(entry.address) +
           strlen(entry.dc);
}

uint64_t
apply_decoded_bytes(enum object_kind kind, const struct cache_object *object,
                    void *ctx)
{
    switch (kind) {
    case OBJECT_CONFIG:
        return json_room_size(object->spec) / APPLY_CONFIG_DIVISOR;
    case OBJECT_BACKENDS:
        return apply_backend_bytes(ctx, object);
    case OBJECT_DRAINED_DCS:
        return APPLY_DC_BYTES + strlen(object->name);
    case OBJECT_KIND_COUNT:
        break;
    }
    return 0;
}
