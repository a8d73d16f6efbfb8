#include <glib.h>
#include <stddef.h>
#include <string.h>

#include "common/rc.h"
#include "standin/fleet_admin.h"

static int
fleet_admin_set_number(int64_t *field, const json_t *value, int64_t max)
{
    if (!json_is_integer(value) || json_integer_value(value) < 0 ||
        json_integer_value(value) > max) {
        return RC_BAD_FIELD;
    }
    *field = json_integer_value(value);
    return RC_OK;
}

static int
fleet_admin_silent(struct searcher *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    searcher_silence(searcher);
    return RC_OK;
}

static int
fleet_admin_freeze(struct searcher *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    searcher_freeze(searcher, json_is_true(value));
    return RC_OK;
}

static int
fleet_admin_down(struct searcher *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    if (json_is_true(value) && searcher->server != NULL) {
        searcher_close(searcher);
    }
    else if (json_is_false(value) && searcher->server == NULL) {
        return searcher_open(searcher);
    }
    return RC_OK;
}

static int
fleet_admin_restart(struct searcher *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    searcher_restart(searcher);
    return RC_OK;
}

static int
fleet_admin_cold(struct searcher *searcher, const json_t *value)
{
    if (!json_is_true(value)) {
        return RC_BAD_FIELD;
    }
    service_model_set_cold(&searcher->model, hrtimer_now_us());
    return RC_OK;
}

static int
fleet_admin_draining(struct searcher *searcher, const json_t *value)
{
    if (!json_is_boolean(value)) {
        return RC_BAD_FIELD;
    }
    searcher->is_draining = json_is_true(value);
    return RC_OK;
}

static int
fleet_admin_versions(struct searcher *searcher, const json_t *value)
{
    const char *text = json_string_value(value);
    return text == NULL ? RC_BAD_FIELD
                        : searcher_versions_parse(text, &searcher->versions);
}

/* Sets the number of shards of a version. */
static int
fleet_admin_set_layout(struct searcher *searcher, int64_t version,
                       uint32_t shards)
{
    uint32_t i = 0;
    while (i < searcher->layout_count &&
           searcher->layouts[i].version != version) {
        i += 1;
    }
    if (i == SEARCHER_VERSIONS_MAX) {
        return RC_BAD_FIELD;
    }
    searcher->layouts[i] =
        (struct searcher_layout){.version = version, .shards = shards};
    searcher->layout_count = MAX(searcher->layout_count, i + 1);
    return RC_OK;
}

static int
fleet_admin_shards(struct searcher *searcher, const json_t *value)
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
            fleet_admin_set_layout(searcher, version, (uint32_t)count) !=
                RC_OK) {
            return RC_BAD_FIELD;
        }
    }
    return RC_OK;
}

static int
fleet_admin_load_permille(struct searcher *searcher, const json_t *value)
{
    if (json_is_null(value)) {
        searcher->reported_load_permille = -1;
        return RC_OK;
    }
    return fleet_admin_set_number(&searcher->reported_load_permille, value,
                                  1000000);
}

static int
fleet_admin_reset_stats(struct searcher *searcher, const json_t *value)
{
    searcher->stats = (struct searcher_stats){.requests = 0};
    return RC_OK;
}

static const struct fleet_admin_field {
    const char *name;
    /* NULL: the field sets the number at `offset`, which is at most `max`. */
    int (*apply)(struct searcher *searcher, const json_t *value);
    size_t offset;
    int64_t max;
} fleet_admin_fields[] = {
    {"silent", fleet_admin_silent},
    {"freeze", fleet_admin_freeze},
    {"down", fleet_admin_down},
    {"restart", fleet_admin_restart},
    {"cold", fleet_admin_cold},
    {"draining", fleet_admin_draining},
    {"versions", fleet_admin_versions},
    {"shards", fleet_admin_shards},
    {"service_us", NULL, offsetof(struct searcher, model.service_us),
     60000000},
    {"straggler_permille", NULL,
     offsetof(struct searcher, model.straggler_permille), 1000},
    {"straggler_factor", NULL,
     offsetof(struct searcher, model.straggler_factor), 10000},
    {"status_lag_ms", NULL, offsetof(struct searcher, status_lag_ms), 600000},
    {"load_permille", fleet_admin_load_permille},
    {"truncate_next", NULL, offsetof(struct searcher, truncate_next), 1000000},
    {"duplicate_next", NULL, offsetof(struct searcher, duplicate_next),
     1000000},
    {"cross_next", NULL, offsetof(struct searcher, cross_next), 1000000},
    {"oversize_next", NULL, offsetof(struct searcher, oversize_next), 1000000},
    {"reset_stats", fleet_admin_reset_stats},
};

static int
fleet_admin_apply_one(struct searcher *searcher, const char *name,
                      const json_t *value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleet_admin_fields); i++) {
        const struct fleet_admin_field *field = &fleet_admin_fields[i];
        if (strcmp(field->name, name) != 0) {
            continue;
        }
        if (field->apply != NULL) {
            return field->apply(searcher, value);
        }
        int64_t *number = (int64_t *)((char *)searcher + field->offset);
        return fleet_admin_set_number(number, value, field->max);
    }
    return RC_BAD_FIELD;
}

int
fleet_admin_apply(struct searcher *searcher, const json_t *fields,
                  const char **bad_field)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)fields, name, value)
    {
        if (strcmp(name, "searcher") == 0) {
            continue;
        }
        int rc = fleet_admin_apply_one(searcher, name, value);
        if (rc != RC_OK) {
            *bad_field = name;
            return rc;
        }
    }
    return RC_OK;
}

bool
fleet_admin_selects(const json_t *selector, const struct searcher *searcher,
                    uint32_t index)
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
fleet_admin_add_count(json_t *out, const char *name, uint64_t value)
{
    json_object_set_new(out, name, json_integer((json_int_t)value));
}

json_t *
fleet_admin_stats(const struct searcher *searcher, uint32_t index)
{
    const struct searcher_stats *stats = &searcher->stats;
    json_t *out = json_object();
    fleet_admin_add_count(out, "searcher", index);
    fleet_admin_add_count(out, "port", searcher->port);
    fleet_admin_add_count(out, "shard", searcher->shard);
    if (searcher->zone != NULL) {
        json_object_set_new(out, "zone", json_string(searcher->zone));
    }
    fleet_admin_add_count(out, "requests", stats->requests);
    fleet_admin_add_count(out, "executes", stats->executes);
    fleet_admin_add_count(out, "statuses", stats->statuses);
    fleet_admin_add_count(out, "shed", stats->shed);
    fleet_admin_add_count(out, "shed_cold", stats->shed_cold);
    fleet_admin_add_count(out, "version_gone", stats->version_gone);
    fleet_admin_add_count(out, "bad_requests", stats->bad_requests);
    fleet_admin_add_count(out, "cancelled", stats->cancelled);
    fleet_admin_add_count(out, "aborted", stats->aborted);
    fleet_admin_add_count(out, "cold_requests", stats->cold_requests);
    fleet_admin_add_count(out, "cold_max_in_use", stats->cold_max_in_use);
    fleet_admin_add_count(out, "in_use", searcher->in_use);
    fleet_admin_add_count(out, "max_in_use", stats->max_in_use);
    fleet_admin_add_count(
        out, "connections",
        searcher->server == NULL ? 0 : http_conn_count(searcher->server));
    fleet_admin_add_count(out, "max_connections", stats->max_connections);
    fleet_admin_add_count(out, "refused_connections",
                          stats->refused_connections);
    return out;
}
