#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "soak.h"

#define CALLER_ASK_IVL_US (SOAK_US / 60)
#define CALLER_WAIT_MS 2000
/* Without an answer for this long beyond its wait, a request is given up. */
#define CALLER_GIVE_UP_US (SOAK_US / 2)
#define CALLER_RECORD_BYTES 16
#define CALLER_TOP 10
#define CALLER_SHARD_RECORDS 12
#define CALLER_LOSS_SLACK_US (SOAK_US / 5)
/* Time after which a refused request must not have run. */
#define CALLER_EXTRA_SLACK 8

enum caller_kind {
    CALLER_GATHER,
    CALLER_SINGLE,
    CALLER_ONCE,
    CALLER_KINDS,
};

static const char *const caller_paths[CALLER_KINDS] = {
    [CALLER_GATHER] = "/gather/",
    [CALLER_SINGLE] = "/single/",
    [CALLER_ONCE] = "/once/",
};

/* One try of a caller. */
struct scl {
    struct soak *soak;
    enum caller_kind kind;
    char id[32];
    char target[64];
    struct vm *vm;
    uint32_t incarnation;
    struct http_client_conn *conn;
    int64_t sent_us;
    int64_t config_version; /* newest one when it was sent */
    int runs;
    int status; /* 0: no answer yet, -1: connection ended */
    bool is_ended;
};

/* Arrivals at each service in buckets of a second, for the budget. */
struct caller_budget {
    uint32_t first[3600];
    uint32_t extra[3600];
};

static struct caller_budget caller_budgets[SOAK_SERVICES];

static void
caller_end(struct scl *ask)
{
    ask->is_ended = true;
    http_client_close(ask->conn);
    ask->conn = NULL;
}

static int
caller_second(const struct soak *soak)
{
    int64_t second = (soak_now_us() - soak->start_us) / SOAK_US;
    return (int)CLAMP(second, 0, 3599);
}

static void
caller_check_drain(struct soak *soak, const struct server *server,
                   const struct scl *ask)
{
    int64_t now_us = soak_now_us();
    if (server->drained_us > 0 &&
        now_us - server->drained_us > SOAK_DRAIN_US &&
        ask->sent_us > server->drained_us + SOAK_DRAIN_US &&
        soak_is_calm(soak, ask->vm, server->drained_us)) {
        soak_violation(soak, "drain", "%s from %s reached %s %d ms late",
                       ask->id, ask->vm->name, server->id,
                       (int)((now_us - server->drained_us) / 1000));
    }
    int64_t evacuated_us = soak->evacuated_us[server->dc];
    if (evacuated_us > 0 && ask->sent_us > evacuated_us + SOAK_EVACUATE_US &&
        soak_is_calm(soak, ask->vm, evacuated_us)) {
        soak_violation(soak, "evacuate", "%s from %s reached %s in dc%d",
                       ask->id, ask->vm->name, server->id, server->dc);
    }
}

void
caller_on_arrival(struct soak *soak, struct server *server, const char *id,
                  const char *target, bool runs)
{
    struct scl *ask = g_hash_table_lookup(soak->asks, id);
    if (ask == NULL || strcmp(target, ask->target) != 0) {
        soak_violation(soak, "unasked", "%s %s reached %s", id, target,
                       server->id);
        return;
    }
    char *key = g_strdup_printf("%s/%d", id, server->service);
    bool is_first = !g_hash_table_contains(soak->counts, key);
    g_hash_table_insert(soak->counts, key, NULL);
    struct caller_budget *budget = &caller_budgets[server->service];
    uint32_t *bucket = is_first ? budget->first : budget->extra;
    bucket[caller_second(soak)] += 1;
    caller_check_drain(soak, server, ask);
    if (!runs) {
        return;
    }
    ask->runs += 1;
    if (ask->kind == CALLER_ONCE && ask->runs > 1) {
        soak_violation(soak, "twice", "%s ran %d times", id, ask->runs);
    }
}

static gint
caller_compare(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The greatest records of the shards that the stamps name. */
static char *
caller_expected(const struct scl *ask, const bool *services)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(g_free);
    for (int service = 0; service < SOAK_SHARDS; service++) {
        for (int i = 0; services[service] && i < CALLER_SHARD_RECORDS; i++) {
            char *text = g_strdup_printf("%s/%d/%d", ask->id, service, i);
            char *sum =
                g_compute_checksum_for_string(G_CHECKSUM_MD5, text, -1);
            sum[CALLER_RECORD_BYTES] = '\0';
            g_ptr_array_add(records, sum);
            g_free(text);
        }
    }
    g_ptr_array_sort(records, caller_compare);
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < MIN(records->len, CALLER_TOP); i++) {
        g_string_append(out, g_ptr_array_index(records, records->len - 1 - i));
    }
    g_ptr_array_free(records, TRUE);
    return g_string_free(out, FALSE);
}

static char *
caller_field(const struct http_response *response, const char *name)
{
    const struct http_field *field = http_client_field(response, name);
    return field != NULL ? g_strndup(field->value, field->value_bytes)
                         : g_strdup("");
}

static void
caller_check_gather(struct scl *ask, const struct http_response *response)
{
    struct soak *soak = ask->soak;
    bool services[SOAK_SHARDS] = {false};
    int count = 0;
    char *stamps = caller_field(response, "x-part-stamps");
    char *missing = caller_field(response, "x-missing-parts");
    char **parts = g_strsplit(stamps, ", ", -1);
    for (char **part = parts; *part != NULL; part++) {
        int service = soak_service_of(*part);
        if (service >= SOAK_SHARDS || services[service] ||
            strstr(*part, ask->id) == NULL) {
            soak_violation(soak, "mixed", "%s has the part %s", ask->id,
                           *part);
            continue;
        }
        services[service] = true;
        count += 1;
    }
    char *expected = caller_expected(ask, services);
    if (response->body_bytes != strlen(expected) ||
        memcmp(response->body, expected, response->body_bytes) != 0) {
        soak_violation(soak, "mixed", "%s has other records than its parts",
                       ask->id);
    }
    if (count + atoi(missing) != SOAK_SHARDS || count * 3 < SOAK_SHARDS * 2) {
        soak_violation(soak, "coverage", "%s has %d parts, %s missing",
                       ask->id, count, missing);
    }
    soak_count(soak, count == SOAK_SHARDS ? "complete" : "partial");
    g_free(expected);
    g_free(stamps);
    g_free(missing);
    g_strfreev(parts);
}

/* Which configuration the answer shows, and whether it may be in force. */
static void
caller_check_version(struct scl *ask, int service)
{
    struct soak *soak = ask->soak;
    bool is_newest =
        service == SOAK_SHARDS + soak_single_service(ask->config_version);
    bool is_due = ask->sent_us > soak->version_us + SOAK_CONFIG_US &&
                  ask->config_version == soak->version;
    if (!is_newest && is_due &&
        soak_is_calm(soak, ask->vm, soak->version_us)) {
        soak_violation(soak, "config",
                       "%s at %s is handled as before version %d", ask->id,
                       ask->vm->name, (int)soak->version);
    }
    struct vm *vm = ask->vm;
    if (vm->incarnation != ask->incarnation) {
        return;
    }
    if (is_newest) {
        vm->seen_version = MAX(vm->seen_version, ask->config_version);
    }
}

static void
caller_check_single(struct scl *ask, const struct http_response *response)
{
    struct soak *soak = ask->soak;
    char *stamp = caller_field(response, "x-response-stamp");
    char *id = caller_field(response, "x-request-id");
    if (strstr(stamp, ask->id) == NULL || strcmp(id, ask->id) != 0 ||
        response->body_bytes != CALLER_SHARD_RECORDS * CALLER_RECORD_BYTES) {
        soak_violation(soak, "mixed", "%s got %s of %s", ask->id, stamp, id);
    }
    else {
        caller_check_version(ask, soak_service_of(stamp));
    }
    soak_count(soak, "served");
    g_free(stamp);
    g_free(id);
}

/* Whether a planned stop, and nothing else, disturbs the VM. */
static bool
caller_is_planned(const struct scl *ask)
{
    const struct vm *vm = ask->vm;
    return vm->is_stopping && !vm->was_killed && !vm->is_paused &&
           vm->incarnation == ask->incarnation &&
           vm->disturbed_us == vm->stopped_us;
}

static void
caller_on_response(struct http_client_conn *conn,
                   const struct http_response *response, void *ctx)
{
    struct scl *ask = ctx;
    struct soak *soak = ask->soak;
    int64_t took_us = soak_now_us() - ask->sent_us;
    if (response->rc != RC_OK) {
        ask->status = -1;
        soak_count(soak, "cut");
        bool was_passed_on = ask->runs > 0;
        if (caller_is_planned(ask) &&
            (was_passed_on || took_us > CALLER_LOSS_SLACK_US)) {
            soak_violation(soak, "lost", "%s was cut by a planned stop of %s",
                           ask->id, ask->vm->name);
        }
    }
    else {
        ask->status = response->status;
        if (response->status == 200 && ask->kind == CALLER_GATHER) {
            caller_check_gather(ask, response);
        }
        else if (response->status == 200) {
            caller_check_single(ask, response);
        }
        else {
            char *name = g_strdup_printf("status %d", response->status);
            soak_count(soak, name);
            g_free(name);
        }
        if (response->status >= 400 && response->status < 500 &&
            response->status != 429) {
            soak_violation(soak, "denied", "%s got %d", ask->id,
                           response->status);
        }
    }
    caller_end(ask);
}

static void
caller_on_connected(struct http_client_conn *conn, int rc, void *ctx)
{
    struct scl *ask = ctx;
    if (rc != RC_OK) {
        soak_count(ask->soak, "no connection");
        ask->status = -1;
        caller_end(ask);
        return;
    }
    GString *request = g_string_new(NULL);
    g_string_append_printf(request,
                           "%s %s HTTP/1.1\r\nHost: soak\r\n"
                           "X-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n",
                           ask->kind == CALLER_ONCE ? "POST" : "GET",
                           ask->target, ask->id, CALLER_WAIT_MS);
    g_string_append(request, ask->kind == CALLER_ONCE
                                 ? "Content-Length: 3\r\n\r\nabc"
                                 : "\r\n");
    ask->sent_us = soak_now_us();
    if (http_client_send(conn, request, false, caller_on_response, ask) !=
        RC_OK) {
        caller_end(ask);
    }
}

static void
caller_ask(struct soak *soak)
{
    struct vm *vm = &soak->vms[soak_random(soak, SOAK_VMS)];
    if (!vm->is_running) {
        return;
    }
    static uint32_t serial;
    struct scl *ask = g_new0(struct scl, 1);
    serial += 1;
    ask->soak = soak;
    ask->vm = vm;
    ask->incarnation = vm->incarnation;
    ask->kind = (enum caller_kind)soak_random(soak, CALLER_KINDS);
    ask->config_version = soak->version;
    ask->sent_us = soak_now_us();
    g_snprintf(ask->id, sizeof(ask->id), "q%08u", serial);
    g_snprintf(ask->target, sizeof(ask->target), "%sx%%2fy?z=%u",
               caller_paths[ask->kind], serial);
    g_hash_table_insert(soak->asks, ask->id, ask);
    char address[SOAK_ADDRESS_BYTES];
    soak_address(soak, SOAK_VM_HOST + vm->index, SOAK_REQUEST_PORT, address);
    if (http_client_connect(&soak->loop, address, 1 << 20, caller_on_connected,
                            NULL, ask, &ask->conn) != RC_OK) {
        ask->conn = NULL;
        ask->is_ended = true;
    }
    soak_count(soak, "asked");
}

static int64_t caller_next_us;

void
caller_start(struct soak *soak)
{
    caller_next_us = soak_now_us();
}

void
caller_tick(struct soak *soak, int64_t now_us)
{
    while (now_us >= caller_next_us) {
        caller_next_us += CALLER_ASK_IVL_US;
        caller_ask(soak);
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, soak->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct scl *ask = value;
        int64_t limit_us = CALLER_WAIT_MS * 1000LL + CALLER_GIVE_UP_US;
        if (ask->is_ended || now_us - ask->sent_us < limit_us) {
            continue;
        }
        if (soak_is_calm(soak, ask->vm, ask->sent_us)) {
            soak_violation(soak, "held", "%s has no answer from %s", ask->id,
                           ask->vm->name);
        }
        soak_count(soak, "given up");
        caller_end(ask);
    }
}

/* Extra sends of a window against the requests of it or the one before. */
static void
caller_check_budget(struct soak *soak, int service)
{
    const struct caller_budget *budget = &caller_budgets[service];
    int window = SOAK_WINDOW_US / SOAK_US;
    for (int from = 0; from + window < 3600; from++) {
        uint32_t first = 0;
        uint32_t before = 0;
        uint32_t extra = 0;
        for (int i = from; i < from + window; i++) {
            first += budget->first[i];
            extra += budget->extra[i];
            before += i >= window ? budget->first[i - window] : 0;
        }
        uint32_t allowed = MAX(first, before) * SOAK_EXTRA_PERMILLE / 1000 +
                           SOAK_EXTRA_COUNT + CALLER_EXTRA_SLACK;
        if (extra > allowed) {
            soak_violation(soak, "budget",
                           "service%d got %u extra sends of %u from second %d",
                           service, extra, allowed, from);
            return;
        }
    }
}

void
caller_finish(struct soak *soak)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, soak->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct scl *ask = value;
        bool is_promise = ask->status == 429 || ask->status == 503 ||
                          ask->status == 408 || ask->status == 421;
        if (ask->kind == CALLER_ONCE && is_promise && ask->runs > 0) {
            soak_violation(soak, "refused", "%s got %d and ran", ask->id,
                           ask->status);
        }
    }
    for (int service = 0; service < SOAK_SERVICES; service++) {
        caller_check_budget(soak, service);
    }
}
