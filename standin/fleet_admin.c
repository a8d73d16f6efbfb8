#include <glib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/fleet_admin.h"

static int
fad_set_number(int64_t *field, const json_t *value, int64_t max)
{
    if (!json_is_integer(value) || json_integer_value(value) < 0 ||
        json_integer_value(value) > max) {
        return RC_BAD_FIELD;
    }
    *field = json_integer_value(value);
    return RC_OK;
}

static int
fad_silent(struct sea *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    sea_silence(searcher);
    return RC_OK;
}

static int
fad_freeze(struct sea *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    sea_freeze(searcher, json_is_true(value));
    return RC_OK;
}

static int
fad_down(struct sea *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    if (json_is_true(value) && searcher->server != NULL) {
        sea_close(searcher);
    }
    else if (json_is_false(value) && searcher->server == NULL) {
        return sea_open(searcher);
    }
    return RC_OK;
}

static int
fad_restart(struct sea *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    sea_restart(searcher);
    return RC_OK;
}

static int
fad_cold(struct sea *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    shp_cool(&searcher->shape, tmr_now_us());
    return RC_OK;
}

static int
fad_draining(struct sea *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    searcher->is_draining = json_is_true(value);
    return RC_OK;
}

static int
fad_versions(struct sea *searcher, const json_t *value)
{
    const char *text = json_string_value(value);
    return text == NULL ? RC_BAD_FIELD
                        : sea_versions_parse(text, &searcher->versions);
}

static int
fad_set_layout(struct sea *searcher, int64_t version, uint32_t shards)
{
    uint32_t i = 0;
    while (i < searcher->layout_count &&
           searcher->layouts[i].version != version) {
        i += 1;
    }
    if (i == SEA_VERSIONS_MAX) {
        return RC_BAD_FIELD;
    }
    searcher->layouts[i] =
        (struct sea_layout){.version = version, .shards = shards};
    searcher->layout_count = MAX(searcher->layout_count, i + 1);
    return RC_OK;
}

static int
fad_shards(struct sea *searcher, const json_t *value)
{
    const char *name;
    json_t *shards;
    if (!json_is_object(value)) {
        return RC_BAD_FIELD;
    }
    json_object_foreach((json_t *)value, name, shards)
    {
        int64_t version = g_ascii_strtoll(name, NULL, 10);
        int64_t count = json_integer_value(shards);
        if (version <= 0 || count <= 0 || count > 100000 ||
            fad_set_layout(searcher, version, (uint32_t)count) != RC_OK) {
            return RC_BAD_FIELD;
        }
    }
    return RC_OK;
}

static int
fad_service_us(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->shape.service_us, value, 60000000);
}

static int
fad_straggler_permille(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->shape.straggler_permille, value, 1000);
}

static int
fad_straggler_factor(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->shape.straggler_factor, value, 10000);
}

static int
fad_status_lag_ms(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->status_lag_ms, value, 600000);
}

static int
fad_load_permille(struct sea *searcher, const json_t *value)
{
    if (json_is_null(value)) {
        searcher->load_shown_permille = -1;
        return RC_OK;
    }
    return fad_set_number(&searcher->load_shown_permille, value, 1000000);
}

static int
fad_truncate_next(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->truncate_next, value, 1000000);
}

static int
fad_duplicate_next(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->duplicate_next, value, 1000000);
}

static int
fad_cross_next(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->cross_next, value, 1000000);
}

static int
fad_oversize_next(struct sea *searcher, const json_t *value)
{
    return fad_set_number(&searcher->oversize_next, value, 1000000);
}

static int
fad_reset_stats(struct sea *searcher, const json_t *value)
{
    searcher->stats = (struct sea_stats){.requests = 0};
    return RC_OK;
}

static const struct {
    const char *name;
    int (*apply)(struct sea *searcher, const json_t *value);
} fad_switches[] = {
    {"silent", fad_silent},
    {"freeze", fad_freeze},
    {"down", fad_down},
    {"restart", fad_restart},
    {"cold", fad_cold},
    {"draining", fad_draining},
    {"versions", fad_versions},
    {"shards", fad_shards},
    {"service_us", fad_service_us},
    {"straggler_permille", fad_straggler_permille},
    {"straggler_factor", fad_straggler_factor},
    {"status_lag_ms", fad_status_lag_ms},
    {"load_permille", fad_load_permille},
    {"truncate_next", fad_truncate_next},
    {"duplicate_next", fad_duplicate_next},
    {"cross_next", fad_cross_next},
    {"oversize_next", fad_oversize_next},
    {"reset_stats", fad_reset_stats},
};

static int
fad_apply_one(struct sea *searcher, const char *name, const json_t *value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fad_switches); i++) {
        if (strcmp(fad_switches[i].name, name) == 0) {
            return fad_switches[i].apply(searcher, value);
        }
    }
    return RC_BAD_FIELD;
}

int
fad_apply(struct sea *searcher, const json_t *switches, const char **bad)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)switches, name, value)
    {
        if (strcmp(name, "searcher") == 0) {
            continue;
        }
        int rc = fad_apply_one(searcher, name, value);
        if (rc != RC_OK) {
            *bad = name;
            return rc;
        }
    }
    return RC_OK;
}

bool
fad_selects(const json_t *selector, const struct sea *searcher, uint32_t index)
{
    if (json_is_integer(selector)) {
        return json_integer_value(selector) == index;
    }
    if (json_is_string(selector)) {
        return strcmp(json_string_value(selector), "all") == 0;
    }
    const char *zone = json_string_value(json_object_get(selector, "zone"));
    return zone != NULL && searcher->zone != NULL &&
           strcmp(zone, searcher->zone) == 0;
}

static void
fad_add_count(json_t *out, const char *name, uint64_t value)
{
    json_object_set_new(out, name, json_integer((json_int_t)value));
}

json_t *
fad_stats(const struct sea *searcher, uint32_t index)
{
    const struct sea_stats *stats = &searcher->stats;
    json_t *out = json_object();
    fad_add_count(out, "searcher", index);
    fad_add_count(out, "port", searcher->port);
    fad_add_count(out, "shard", searcher->shard);
    if (searcher->zone != NULL) {
        json_object_set_new(out, "zone", json_string(searcher->zone));
    }
    fad_add_count(out, "requests", stats->requests);
    fad_add_count(out, "executes", stats->executes);
    fad_add_count(out, "statuses", stats->statuses);
    fad_add_count(out, "shed", stats->shed);
    fad_add_count(out, "shed_cold", stats->shed_cold);
    fad_add_count(out, "version_gone", stats->version_gone);
    fad_add_count(out, "bad_requests", stats->bad_requests);
    fad_add_count(out, "cancelled", stats->cancelled);
    fad_add_count(out, "aborted", stats->aborted);
    fad_add_count(out, "cold_requests", stats->cold_requests);
    fad_add_count(out, "cold_max_in_use", stats->cold_max_in_use);
    fad_add_count(out, "in_use", searcher->in_use);
    fad_add_count(out, "max_in_use", stats->max_in_use);
    fad_add_count(out, "connections",
                  searcher->server == NULL ? 0 : wir_count(searcher->server));
    fad_add_count(out, "max_connections", stats->max_connections);
    fad_add_count(out, "refused_connections", stats->refused_connections);
    return out;
}
