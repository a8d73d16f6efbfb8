#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/settings.h"

enum stg_kind {
    STG_TEXT,
    STG_ADDRESS,
    STG_NUMBER, /* a decimal number times `scale`, kept whole */
};

struct stg_spec {
    const char *group;
    const char *key;
    enum stg_kind kind;
    size_t offset;
    double scale;
    int64_t min;
    int64_t max;
};

#define STG_DAY_MS (24LL * 3600 * 1000)

static const struct stg_spec stg_specs[] = {
    {"vm", "name", STG_TEXT, offsetof(struct stg, vm)},
    {"vm", "data_centre", STG_TEXT, offsetof(struct stg, dc)},
    {"vm", "ip", STG_TEXT, offsetof(struct stg, ip)},
    {"vm", "cores", STG_NUMBER, offsetof(struct stg, capacity), 1000, 1,
     1000000},
    {"vm", "files", STG_NUMBER, offsetof(struct stg, files), 1, 64, 10000000},
    {"listen", "requests", STG_ADDRESS, offsetof(struct stg, request_listen)},
    {"listen", "ready", STG_ADDRESS, offsetof(struct stg, ready_listen)},
    {"listen", "directory", STG_ADDRESS,
     offsetof(struct stg, directory_listen)},
    {"listen", "peer_port", STG_NUMBER, offsetof(struct stg, peer_port), 1, 1,
     65535},
    {"listen", "metrics_port", STG_NUMBER, offsetof(struct stg, metrics_port),
     1, 0, 65535},
    {"store", "address", STG_ADDRESS, offsetof(struct stg, store)},
    {"stop", "grace_s", STG_NUMBER, offsetof(struct stg, grace_ms), 1000, 500,
     STG_DAY_MS},
    {"retries", "extra_ratio", STG_NUMBER,
     offsetof(struct stg, extra_permille), 1000, 0, 1000},
    {"retries", "extra_count", STG_NUMBER, offsetof(struct stg, extra_count),
     1, 0, 1000000},
    {"warmup", "overshoot_ratio", STG_NUMBER,
     offsetof(struct stg, warmup_overshoot_permille), 1000, 0, 100000},
    {"warmup", "slack", STG_NUMBER, offsetof(struct stg, warmup_slack), 1, 0,
     1000000},
    {"config", "apply_ms", STG_NUMBER, offsetof(struct stg, config_apply_ms),
     1, 1, STG_DAY_MS},
    {"directory", "ttl_max_s", STG_NUMBER,
     offsetof(struct stg, address_ttl_max_ms), 1000, 1, STG_DAY_MS},
};

static bool
stg_set_number(const struct stg_spec *spec, const char *path, const char *text,
               struct stg *out)
{
    char *end = NULL;
    double value = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0') {
        log_error("settings", "not a number file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    double scaled = value * spec->scale;
    if (!(scaled >= (double)spec->min && scaled <= (double)spec->max)) {
        log_error("settings", "out of range file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    int64_t whole = (int64_t)(scaled + 0.5);
    memcpy((char *)out + spec->offset, &whole, sizeof(whole));
    return true;
}

static bool
stg_set(const struct stg_spec *spec, const char *path, const char *text,
        struct stg *out)
{
    if (spec->kind == STG_NUMBER) {
        return stg_set_number(spec, path, text, out);
    }
    struct sockaddr_in address;
    if (spec->kind == STG_ADDRESS && net_parse(text, &address) != RC_OK) {
        log_error("settings", "not IPV4:PORT file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    if (*text == '\0') {
        log_error("settings", "empty file=%s group=%s key=%s", path,
                  spec->group, spec->key);
        return false;
    }
    char *copy = g_strdup(text);
    memcpy((char *)out + spec->offset, &copy, sizeof(copy));
    return true;
}

static bool
stg_read_one(const struct stg_spec *spec, const char *path, GKeyFile *file,
             struct stg *out)
{
    char *text = g_key_file_get_string(file, spec->group, spec->key, NULL);
    if (text == NULL) {
        log_error("settings", "missing file=%s group=%s key=%s", path,
                  spec->group, spec->key);
        return false;
    }
    bool is_good = stg_set(spec, path, g_strstrip(text), out);
    g_free(text);
    return is_good;
}

int
stg_read(const char *path, struct stg *out)
{
    *out = (struct stg){.metrics_port = 0};
    GKeyFile *file = g_key_file_new();
    GError *error = NULL;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error)) {
        log_error("settings", "cannot read file=%s error=\"%s\"", path,
                  error->message);
        g_error_free(error);
        g_key_file_free(file);
        return RC_INVALID;
    }
    bool is_good = true;
    for (size_t i = 0; i < G_N_ELEMENTS(stg_specs); i++) {
        is_good = stg_read_one(&stg_specs[i], path, file, out) && is_good;
    }
    g_key_file_free(file);
    if (!is_good) {
        stg_clear(out);
        return RC_INVALID;
    }
    return RC_OK;
}

void
stg_clear(struct stg *settings)
{
    g_free(settings->vm);
    g_free(settings->dc);
    g_free(settings->ip);
    g_free(settings->request_listen);
    g_free(settings->ready_listen);
    g_free(settings->directory_listen);
    g_free(settings->store);
    *settings = (struct stg){.metrics_port = 0};
}
