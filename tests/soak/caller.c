#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "soak.h"

#define SCL_ASK_IVL_US (SOK_US / 60)
#define SCL_WAIT_MS 2000
/* Without an answer for this long beyond its wait, a request is given up. */
#define SCL_GIVE_UP_US (SOK_US / 2)
#define SCL_RECORD_BYTES 16
#define SCL_TOP 10
#define SCL_SHARD_RECORDS 12
#define SCL_LOSS_SLACK_US (SOK_US / 5)
/* Time after which a refused request must not have run. */
#define SCL_EXTRA_SLACK 8

enum scl_kind {
    SCL_GATHER,
    SCL_SINGLE,
    SCL_ONCE,
    SCL_KINDS,
};

static const char *const scl_paths[SCL_KINDS] = {
    [SCL_GATHER] = "/gather/",
    [SCL_SINGLE] = "/single/",
    [SCL_ONCE] = "/once/",
};

/* One try of a caller. */
struct scl {
    struct sok *sok;
    enum scl_kind kind;
    char id[32];
    char target[64];
    struct svm *vm;
    uint32_t incarnation;
    struct hcl_conn *conn;
    int64_t sent_us;
    int64_t config_version; /* newest one when it was sent */
    int runs;
    int status; /* 0: no answer yet, -1: connection ended */
    bool is_ended;
};

/* Arrivals at each service in buckets of a second, for the budget. */
struct scl_budget {
    uint32_t first[3600];
    uint32_t extra[3600];
};

static struct scl_budget scl_budgets[SOK_SERVICES];

static void
scl_end(struct scl *ask)
{
    ask->is_ended = true;
    hcl_close(ask->conn);
    ask->conn = NULL;
}

static int
scl_second(const struct sok *sok)
{
    int64_t second = (sok_now_us() - sok->start_us) / SOK_US;
    return (int)CLAMP(second, 0, 3599);
}

static void
scl_check_drain(struct sok *sok, const struct ssr *server,
                const struct scl *ask)
{
    int64_t now_us = sok_now_us();
    if (server->drained_us > 0 && now_us - server->drained_us > SOK_DRAIN_US &&
        ask->sent_us > server->drained_us + SOK_DRAIN_US &&
        sok_is_calm(sok, ask->vm, server->drained_us)) {
        sok_violation(sok, "drain", "%s from %s reached %s %d ms late",
                      ask->id, ask->vm->name, server->id,
                      (int)((now_us - server->drained_us) / 1000));
    }
    int64_t evacuated_us = sok->evacuated_us[server->dc];
    if (evacuated_us > 0 && ask->sent_us > evacuated_us + SOK_EVACUATE_US &&
        sok_is_calm(sok, ask->vm, evacuated_us)) {
        sok_violation(sok, "evacuate", "%s from %s reached %s in dc%d",
                      ask->id, ask->vm->name, server->id, server->dc);
    }
}

void
scl_on_arrival(struct sok *sok, struct ssr *server, const char *id,
               const char *target, bool runs)
{
    struct scl *ask = g_hash_table_lookup(sok->asks, id);
    if (ask == NULL || strcmp(target, ask->target) != 0) {
        sok_violation(sok, "unasked", "%s %s reached %s", id, target,
                      server->id);
        return;
    }
    char *key = g_strdup_printf("%s/%d", id, server->service);
    bool is_first = !g_hash_table_contains(sok->counts, key);
    g_hash_table_insert(sok->counts, key, NULL);
    struct scl_budget *budget = &scl_budgets[server->service];
    uint32_t *bucket = is_first ? budget->first : budget->extra;
    bucket[scl_second(sok)] += 1;
    scl_check_drain(sok, server, ask);
    if (!runs) {
        return;
    }
    ask->runs += 1;
    if (ask->kind == SCL_ONCE && ask->runs > 1) {
        sok_violation(sok, "twice", "%s ran %d times", id, ask->runs);
    }
}

static gint
scl_compare(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The greatest records of the shards that the stamps name. */
static char *
scl_expected(const struct scl *ask, const bool *services)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(g_free);
    for (int service = 0; service < SOK_SHARDS; service++) {
        for (int i = 0; services[service] && i < SCL_SHARD_RECORDS; i++) {
            char *text = g_strdup_printf("%s/%d/%d", ask->id, service, i);
            char *sum =
                g_compute_checksum_for_string(G_CHECKSUM_MD5, text, -1);
            sum[SCL_RECORD_BYTES] = '\0';
            g_ptr_array_add(records, sum);
            g_free(text);
        }
    }
    g_ptr_array_sort(records, scl_compare);
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < MIN(records->len, SCL_TOP); i++) {
        g_string_append(out, g_ptr_array_index(records, records->len - 1 - i));
    }
    g_ptr_array_free(records, TRUE);
    return g_string_free(out, FALSE);
}

static char *
scl_field(const struct hcl_response *response, const char *name)
{
    const struct http_field *field = hcl_field(response, name);
    return field != NULL ? g_strndup(field->value, field->value_bytes)
                         : g_strdup("");
}

static void
scl_check_gather(struct scl *ask, const struct hcl_response *response)
{
    struct sok *sok = ask->sok;
    bool services[SOK_SHARDS] = {false};
    int count = 0;
    char *stamps = scl_field(response, "x-part-stamps");
    char *missing = scl_field(response, "x-missing-parts");
    char **parts = g_strsplit(stamps, ", ", -1);
    for (char **part = parts; *part != NULL; part++) {
        int service = sok_service_of(*part);
        if (service >= SOK_SHARDS || services[service] ||
            strstr(*part, ask->id) == NULL) {
            sok_violation(sok, "mixed", "%s has the part %s", ask->id, *part);
            continue;
        }
        services[service] = true;
        count += 1;
    }
    char *expected = scl_expected(ask, services);
    if (response->body_bytes != strlen(expected) ||
        memcmp(response->body, expected, response->body_bytes) != 0) {
        sok_violation(sok, "mixed", "%s has other records than its parts",
                      ask->id);
    }
    if (count + atoi(missing) != SOK_SHARDS || count * 3 < SOK_SHARDS * 2) {
        sok_violation(sok, "coverage", "%s has %d parts, %s missing", ask->id,
                      count, missing);
    }
    sok_count(sok, count == SOK_SHARDS ? "complete" : "partial");
    g_free(expected);
    g_free(stamps);
    g_free(missing);
    g_strfreev(parts);
}

/* Which configuration the answer shows, and whether it may be in force. */
static void
scl_check_version(struct scl *ask, int service)
{
    struct sok *sok = ask->sok;
    bool is_newest =
        service == SOK_SHARDS + sok_single_service(ask->config_version);
    bool is_due = ask->sent_us > sok->version_us + SOK_CONFIG_US &&
                  ask->config_version == sok->version;
    if (!is_newest && is_due && sok_is_calm(sok, ask->vm, sok->version_us)) {
        sok_violation(sok, "config",
                      "%s at %s is handled as before version %d", ask->id,
                      ask->vm->name, (int)sok->version);
    }
    struct svm *vm = ask->vm;
    if (vm->incarnation != ask->incarnation) {
        return;
    }
    if (is_newest) {
        vm->seen_version = MAX(vm->seen_version, ask->config_version);
    }
}

static void
scl_check_single(struct scl *ask, const struct hcl_response *response)
{
    struct sok *sok = ask->sok;
    char *stamp = scl_field(response, "x-response-stamp");
    char *id = scl_field(response, "x-request-id");
    if (strstr(stamp, ask->id) == NULL || strcmp(id, ask->id) != 0 ||
        response->body_bytes != SCL_SHARD_RECORDS * SCL_RECORD_BYTES) {
        sok_violation(sok, "mixed", "%s got %s of %s", ask->id, stamp, id);
    }
    else {
        scl_check_version(ask, sok_service_of(stamp));
    }
    sok_count(sok, "served");
    g_free(stamp);
    g_free(id);
}

/* Whether a planned stop, and nothing else, disturbs the VM. */
static bool
scl_is_planned(const struct scl *ask)
{
    const struct svm *vm = ask->vm;
    return vm->is_stopping && !vm->was_killed && !vm->is_paused &&
           vm->incarnation == ask->incarnation &&
           vm->disturbed_us == vm->stopped_us;
}

static void
scl_on_response(struct hcl_conn *conn, const struct hcl_response *response,
                void *ctx)
{
    struct scl *ask = ctx;
    struct sok *sok = ask->sok;
    int64_t took_us = sok_now_us() - ask->sent_us;
    if (response->rc != RC_OK) {
        ask->status = -1;
        sok_count(sok, "cut");
        bool was_passed_on = ask->runs > 0;
        if (scl_is_planned(ask) &&
            (was_passed_on || took_us > SCL_LOSS_SLACK_US)) {
            sok_violation(sok, "lost", "%s was cut by a planned stop of %s",
                          ask->id, ask->vm->name);
        }
    }
    else {
        ask->status = response->status;
        if (response->status == 200 && ask->kind == SCL_GATHER) {
            scl_check_gather(ask, response);
        }
        else if (response->status == 200) {
            scl_check_single(ask, response);
        }
        else {
            char *name = g_strdup_printf("status %d", response->status);
            sok_count(sok, name);
            g_free(name);
        }
        if (response->status >= 400 && response->status < 500 &&
            response->status != 429) {
            sok_violation(sok, "denied", "%s got %d", ask->id,
                          response->status);
        }
    }
    scl_end(ask);
}

static void
scl_on_connected(struct hcl_conn *conn, int rc, void *ctx)
{
    struct scl *ask = ctx;
    if (rc != RC_OK) {
        sok_count(ask->sok, "no connection");
        ask->status = -1;
        scl_end(ask);
        return;
    }
    GString *request = g_string_new(NULL);
    g_string_append_printf(request,
                           "%s %s HTTP/1.1\r\nHost: soak\r\n"
                           "X-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n",
                           ask->kind == SCL_ONCE ? "POST" : "GET", ask->target,
                           ask->id, SCL_WAIT_MS);
    g_string_append(request, ask->kind == SCL_ONCE
                                 ? "Content-Length: 3\r\n\r\nabc"
                                 : "\r\n");
    ask->sent_us = sok_now_us();
    if (hcl_send(conn, request, false, scl_on_response, ask) != RC_OK) {
        scl_end(ask);
    }
}

static void
scl_ask(struct sok *sok)
{
    struct svm *vm = &sok->vms[sok_random(sok, SOK_VMS)];
    if (!vm->is_running) {
        return;
    }
    static uint32_t serial;
    struct scl *ask = g_new0(struct scl, 1);
    serial += 1;
    ask->sok = sok;
    ask->vm = vm;
    ask->incarnation = vm->incarnation;
    ask->kind = (enum scl_kind)sok_random(sok, SCL_KINDS);
    ask->config_version = sok->version;
    ask->sent_us = sok_now_us();
    g_snprintf(ask->id, sizeof(ask->id), "q%08u", serial);
    g_snprintf(ask->target, sizeof(ask->target), "%sx%%2fy?z=%u",
               scl_paths[ask->kind], serial);
    g_hash_table_insert(sok->asks, ask->id, ask);
    char address[SOK_ADDRESS_BYTES];
    sok_address(sok, SOK_VM_HOST + vm->index, SOK_REQUEST_PORT, address);
    if (hcl_connect(&sok->loop, address, 1 << 20, scl_on_connected, NULL, ask,
                    &ask->conn) != RC_OK) {
        ask->conn = NULL;
        ask->is_ended = true;
    }
    sok_count(sok, "asked");
}

static int64_t scl_next_us;

void
scl_start(struct sok *sok)
{
    scl_next_us = sok_now_us();
}

void
scl_tick(struct sok *sok, int64_t now_us)
{
    while (now_us >= scl_next_us) {
        scl_next_us += SCL_ASK_IVL_US;
        scl_ask(sok);
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, sok->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct scl *ask = value;
        int64_t limit_us = SCL_WAIT_MS * 1000LL + SCL_GIVE_UP_US;
        if (ask->is_ended || now_us - ask->sent_us < limit_us) {
            continue;
        }
        if (sok_is_calm(sok, ask->vm, ask->sent_us)) {
            sok_violation(sok, "held", "%s has no answer from %s", ask->id,
                          ask->vm->name);
        }
        sok_count(sok, "given up");
        scl_end(ask);
    }
}

/* Extra sends of a window against the requests of it or the one before. */
static void
scl_check_budget(struct sok *sok, int service)
{
    const struct scl_budget *budget = &scl_budgets[service];
    int window = SOK_WINDOW_US / SOK_US;
    for (int from = 0; from + window < 3600; from++) {
        uint32_t first = 0;
        uint32_t before = 0;
        uint32_t extra = 0;
        for (int i = from; i < from + window; i++) {
            first += budget->first[i];
            extra += budget->extra[i];
            before += i >= window ? budget->first[i - window] : 0;
        }
        uint32_t allowed = MAX(first, before) * SOK_EXTRA_PERMILLE / 1000 +
                           SOK_EXTRA_COUNT + SCL_EXTRA_SLACK;
        if (extra > allowed) {
            sok_violation(sok, "budget",
                          "service%d got %u extra sends of %u from second %d",
                          service, extra, allowed, from);
            return;
        }
    }
}

void
scl_finish(struct sok *sok)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, sok->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct scl *ask = value;
        bool is_promise = ask->status == 429 || ask->status == 503 ||
                          ask->status == 408 || ask->status == 421;
        if (ask->kind == SCL_ONCE && is_promise && ask->runs > 0) {
            sok_violation(sok, "refused", "%s got %d and ran", ask->id,
                          ask->status);
        }
    }
    for (int service = 0; service < SOK_SERVICES; service++) {
        scl_check_budget(sok, service);
    }
}
