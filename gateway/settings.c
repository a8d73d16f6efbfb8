#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"
#include "gateway/allot.h"
#include "gateway/settings.h"

enum settings_kind {
    SETTINGS_TEXT,
    SETTINGS_ADDRESS,
    SETTINGS_NUMBER, /* a decimal number times `scale`, rounded */
};

struct settings_spec {
    const char *group;
    const char *key;
    enum settings_kind kind;
    size_t offset;
    double scale;
    int64_t min;
    int64_t max;
    int64_t fallback; /* of a number that may be missing, else 0 */
    bool is_fixed;    /* while the process runs */
};

/* Memory of the smallest VM that is in use. */
#define SETTINGS_MEMORY_MB 160
#define SETTINGS_DAY_MS (24LL * 3600 * 1000)

static const struct settings_spec settings_specs[] = {
    {"vm", "name", SETTINGS_TEXT, offsetof(struct settings, vm),
     .is_fixed = true},
    {"vm", "data_centre", SETTINGS_TEXT, offsetof(struct settings, dc),
     .is_fixed = true},
    {"vm", "ip", SETTINGS_TEXT, offsetof(struct settings, ip),
     .is_fixed = true},
    {"vm", "cores", SETTINGS_NUMBER, offsetof(struct settings, capacity), 1000,
     1, 1000000},
    {"vm", "files", SETTINGS_NUMBER, offsetof(struct settings, files), 1,
     ALLOT_FILES_MIN, 10000000},
    {"vm", "memory_mb", SETTINGS_NUMBER, offsetof(struct settings, memory_mb),
     1, ALLOT_MEMORY_MIN_MB, 10000000, SETTINGS_MEMORY_MB},
    {"listen", "requests", SETTINGS_ADDRESS,
     offsetof(struct settings, request_listen), .is_fixed = true},
    {"listen", "ready", SETTINGS_ADDRESS,
     offsetof(struct settings, ready_listen), .is_fixed = true},
    {"listen", "directory", SETTINGS_ADDRESS,
     offsetof(struct settings, directory_listen), .is_fixed = true},
    {"listen", "peer_port", SETTINGS_NUMBER,
     offsetof(struct settings, peer_port), 1, 1, 65535, .is_fixed = true},
    {"listen", "metrics_port", SETTINGS_NUMBER,
     offsetof(struct settings, metrics_port), 1, 0, 65535, .is_fixed = true},
    {"store", "address", SETTINGS_ADDRESS, offsetof(struct settings, store)},
    {"stop", "grace_s", SETTINGS_NUMBER, offsetof(struct settings, grace_ms),
     1000, 500, SETTINGS_DAY_MS},
    {"retries", "extra_ratio", SETTINGS_NUMBER,
     offsetof(struct settings, extra_permille), 1000, 0, 1000},
    {"retries", "extra_count", SETTINGS_NUMBER,
     offsetof(struct settings, extra_count), 1, 0, 1000000},
    {"warmup", "overshoot_ratio", SETTINGS_NUMBER,
     offsetof(struct settings, warmup_overshoot_permille), 1000, 0, 100000},
    {"warmup", "slack", SETTINGS_NUMBER,
     offsetof(struct settings, warmup_slack), 1, 0, 1000000},
    {"config", "apply_ms", SETTINGS_NUMBER,
     offsetof(struct settings, config_apply_ms), 1, 1, SETTINGS_DAY_MS},
    {"drain", "ms", SETTINGS_NUMBER, offsetof(struct settings, drain_ms), 1, 0,
     SETTINGS_DAY_MS},
    {"directory", "ttl_max_s", SETTINGS_NUMBER,
     offsetof(struct settings, address_ttl_max_ms), 1000, 1, SETTINGS_DAY_MS},
};

static bool
settings_set_number(const struct settings_spec *spec, const char *path,
                    const char *text, struct settings *out)
{
    char *end = NULL;
    double value = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0') {
        log_error("settings",
                  "value is not a number file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    double scaled = value * spec->scale;
    if (!(scaled >= (double)spec->min && scaled <= (double)spec->max)) {
        log_error("settings",
                  "value is out of range file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    int64_t whole = (int64_t)(scaled + 0.5);
    memcpy((char *)out + spec->offset, &whole, sizeof(whole));
    return true;
}

static bool
settings_set(const struct settings_spec *spec, const char *path,
             const char *text, struct settings *out)
{
    if (spec->kind == SETTINGS_NUMBER) {
        return settings_set_number(spec, path, text, out);
    }
    struct sockaddr_in address;
    if (spec->kind == SETTINGS_ADDRESS && net_parse(text, &address) != RC_OK) {
        log_error("settings",
                  "value is not IPV4:PORT file=%s group=%s key=%s value=%s",
                  path, spec->group, spec->key, text);
        return false;
    }
    if (*text == '\0') {
        log_error("settings", "value is empty file=%s group=%s key=%s", path,
                  spec->group, spec->key);
        return false;
    }
    char *copy = g_strdup(text);
    memcpy((char *)out + spec->offset, &copy, sizeof(copy));
    return true;
}

static bool
settings_read_one(const struct settings_spec *spec, const char *path,
                  GKeyFile *file, struct settings *out)
{
    char *text = g_key_file_get_string(file, spec->group, spec->key, NULL);
    if (text == NULL && spec->fallback != 0) {
        memcpy((char *)out + spec->offset, &spec->fallback,
               sizeof(spec->fallback));
        return true;
    }
    if (text == NULL) {
        log_error("settings", "key is missing file=%s group=%s key=%s", path,
                  spec->group, spec->key);
        return false;
    }
    bool is_valid = settings_set(spec, path, g_strstrip(text), out);
    g_free(text);
    return is_valid;
}

int
settings_read(const char *path, struct settings *out)
{
    *out = (struct settings){.metrics_port = 0};
    GKeyFile *file = g_key_file_new();
    GError *error = NULL;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error)) {
        log_error("settings", "cannot read settings file=%s error=\"%s\"",
                  path, error->message);
        g_error_free(error);
        g_key_file_free(file);
        return RC_INVALID;
    }
    bool is_valid = true;
    for (size_t i = 0; i < G_N_ELEMENTS(settings_specs); i++) {
        is_valid =
            settings_read_one(&settings_specs[i], path, file, out) && is_valid;
    }
    g_key_file_free(file);
    if (!is_valid) {
        settings_clear(out);
        return RC_INVALID;
    }
    return RC_OK;
}

/* Returns the place of a value in the settings, an int64_t or a char *. */
static void *
settings_value(const struct settings_spec *spec, struct settings *settings)
{
    return (char *)settings + spec->offset;
}

static bool
settings_is_equal(const struct settings_spec *spec, struct settings *left,
                  struct settings *right)
{
    const void *left_value = settings_value(spec, left);
    const void *right_value = settings_value(spec, right);
    if (spec->kind == SETTINGS_NUMBER) {
        return *(const int64_t *)left_value == *(const int64_t *)right_value;
    }
    return strcmp(*(char *const *)left_value, *(char *const *)right_value) ==
           0;
}

static void
settings_copy(const struct settings_spec *spec, struct settings *to,
              struct settings *from)
{
    if (spec->kind == SETTINGS_NUMBER) {
        memcpy(settings_value(spec, to), settings_value(spec, from),
               sizeof(int64_t));
        return;
    }
    char **to_text = settings_value(spec, to);
    char *const *from_text = settings_value(spec, from);
    g_free(*to_text);
    *to_text = g_strdup(*from_text);
}

size_t
settings_update(struct settings *settings, struct settings *read)
{
    size_t waiting = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(settings_specs); i++) {
        const struct settings_spec *spec = &settings_specs[i];
        if (settings_is_equal(spec, settings, read)) {
            continue;
        }
        if (spec->is_fixed) {
            log_warn("settings",
                     "changed value takes effect at the next start group=%s "
                     "key=%s",
                     spec->group, spec->key);
            waiting += 1;
        }
        else {
            settings_copy(spec, settings, read);
        }
    }
    return waiting;
}

void
settings_clear(struct settings *settings)
{
    g_free(settings->vm);
    g_free(settings->dc);
    g_free(settings->ip);
    g_free(settings->request_listen);
    g_free(settings->ready_listen);
    g_free(settings->directory_listen);
    g_free(settings->store);
    *settings = (struct settings){.metrics_port = 0};
}
