#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "soak.h"

/* Sleep between two iterations of the event loop. */
#define SOAK_TICK_US 500
/* Time from the start of the gateways to the first request. */
#define SOAK_WARMUP_US (3 * SOAK_SECOND_US)
/* After the last fault has ended, the gateways have this time to recover; then
 * at least 90 % of the requests sent in SOAK_RECOVERY_CHECK_US must be
 * answered. */
#define SOAK_RECOVERY_US (6 * SOAK_SECOND_US)
#define SOAK_RECOVERY_CHECK_US (2 * SOAK_SECOND_US)

int64_t
soak_now_us(void)
{
    return g_get_monotonic_time();
}

void
soak_address(const struct soak *soak, int host, int port, char *out)
{
    g_snprintf(out, SOAK_ADDRESS_BYTES, "127.0.%d.%d:%d", soak->slot, host,
               port);
}

uint32_t
soak_random(struct soak *soak, uint32_t limit)
{
    uint64_t state = soak->random_state;
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    soak->random_state = state;
    return (uint32_t)((state * 0x2545F4914F6CDD1DULL) >> 33) % limit;
}

static uint32_t
soak_get_count(const struct soak *soak, const char *name)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(soak->counts, name));
}

void
soak_count(struct soak *soak, const char *name)
{
    g_hash_table_insert(soak->counts, g_strdup(name),
                        GUINT_TO_POINTER(soak_get_count(soak, name) + 1));
}

void
soak_violation(struct soak *soak, const char *rule, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_print("%8.3f VIOLATION %s: %s\n",
            (double)(soak_now_us() - soak->start_us) / SOAK_SECOND_US, rule,
            text);
    g_free(text);
    soak->violation_count += 1;
}

bool
soak_is_undisturbed(const struct soak *soak, const struct vm *vm,
                    int64_t since_us)
{
    return vm->is_running && !vm->is_paused && !vm->is_stopping &&
           !soak->is_store_silent &&
           vm->disturbed_us < since_us - SOAK_UNDISTURBED_US &&
           soak->store_disturbed_us < since_us - SOAK_UNDISTURBED_US;
}

int
soak_single_service(int64_t config_version)
{
    return (int)(config_version / 2 % SOAK_SINGLE_SERVICES);
}

static json_t *
soak_route(const char *name, const char *type, const char *service)
{
    char *prefix = g_strdup_printf("/%s/", name);
    json_t *route = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", name, "host", "soak",
        "path_prefix", prefix, "type", type, "timeout_ms", 2000,
        "target_latency_ms", 100, "priority", 1, "max_attempts", 2);
    if (service != NULL) {
        json_object_set_new(route, "service", json_string(service));
    }
    g_free(prefix);
    return route;
}

void
soak_configure(struct soak *soak)
{
    json_t *services = json_array();
    json_t *shards = json_array();
    char name[16];
    soak->config_version += 2;
    for (int i = 0; i < SOAK_SERVICES; i++) {
        g_snprintf(name, sizeof(name), "service%d", i);
        json_array_append_new(services,
                              json_pack("{s:s,s:s,s:i,s:i,s:i}", "name", name,
                                        "health_path", "/health", "max_conns",
                                        40, "warmup_s", 3, "warmup_per_s", 0));
        if (i < SOAK_SHARDS) {
            json_array_append_new(shards, json_string(name));
        }
    }
    g_snprintf(name, sizeof(name), "service%d",
               SOAK_SHARDS + soak_single_service(soak->config_version));
    json_t *gather = soak_route("gather", "idempotent", NULL);
    json_object_set_new(gather, "gather", shards);
    json_object_set_new(gather, "top_k", json_integer(10));
    json_object_set_new(gather, "min_coverage", json_real(0.66));
    json_t *spec = json_pack(
        "{s:I,s:[o,o,o],s:o,s:{s:i,s:i,s:i,s:i}}", "version",
        (json_int_t)soak->config_version, "routes", gather,
        soak_route("single", "idempotent", name),
        soak_route("once", "non_idempotent", name), "services", services,
        "limits", "max_header_bytes", 16384, "max_body_bytes", 262144,
        "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
    store_put(soak->store, "config", "main", spec);
    json_decref(spec);
    soak->config_written_us = soak_now_us();
}

/* Runs the event loop until `until_us`, with or without requests (`has_load`)
 * and faults. */
static void
soak_run_until(struct soak *soak, int64_t until_us, bool has_load,
               bool has_faults)
{
    while (soak_now_us() < until_us) {
        uv_run(&soak->loop, UV_RUN_NOWAIT);
        int64_t now_us = soak_now_us();
        if (has_load) {
            caller_tick(soak, now_us);
        }
        if (has_faults) {
            fault_tick(soak, now_us);
        }
        g_usleep(SOAK_TICK_US);
    }
}

static uint32_t
soak_answered_count(const struct soak *soak)
{
    return soak_get_count(soak, "complete") + soak_get_count(soak, "partial") +
           soak_get_count(soak, "served");
}

static void
soak_check_recovery(struct soak *soak)
{
    uint32_t sent = soak_get_count(soak, "asked");
    uint32_t answered = soak_answered_count(soak);
    soak_run_until(soak, soak_now_us() + SOAK_RECOVERY_CHECK_US, true, false);
    sent = soak_get_count(soak, "asked") - sent;
    answered = soak_answered_count(soak) - answered;
    if (answered * 10 < sent * 9) {
        soak_violation(soak, "recovery",
                       "%u of %u requests answered after the faults", answered,
                       sent);
    }
}

static void
soak_stop_vms(struct soak *soak)
{
    soak->end_us = 0;
    for (int i = 0; i < SOAK_VMS; i++) {
        if (!soak->vms[i].is_stopping) {
            vm_signal(&soak->vms[i], SIGTERM);
        }
    }
    int64_t limit_us = soak_now_us() + SOAK_GRACE_US + SOAK_SECOND_US;
    bool is_running = true;
    while (is_running && soak_now_us() < limit_us) {
        uv_run(&soak->loop, UV_RUN_NOWAIT);
        g_usleep(1000);
        is_running = false;
        for (int i = 0; i < SOAK_VMS; i++) {
            is_running = is_running || soak->vms[i].is_running;
        }
    }
    for (int i = 0; i < SOAK_VMS; i++) {
        if (soak->vms[i].is_running) {
            soak_violation(soak, "stop", "%s does not exit after SIGTERM",
                           soak->vms[i].name);
            vm_signal(&soak->vms[i], SIGKILL);
        }
    }
    uv_run(&soak->loop, UV_RUN_NOWAIT);
}

static void
soak_report(const struct soak *soak)
{
    GList *names = g_hash_table_get_keys(soak->counts);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    for (GList *name = names; name != NULL; name = name->next) {
        uint32_t count = soak_get_count(soak, name->data);
        if (count > 0) {
            g_print("count %s %u\n", (const char *)name->data, count);
        }
    }
    g_list_free(names);
    g_print("%u violations\n", soak->violation_count);
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        (void)fprintf(stderr, "usage: %s GATEWAY FOLDER SECONDS SEED SLOT\n",
                      argv[0]);
        return 2;
    }
    static struct soak soak;
    (void)signal(SIGPIPE, SIG_IGN);
    soak.gateway = argv[1];
    soak.folder = argv[2];
    soak.random_state =
        strtoull(argv[4], NULL, 10) * 0x9E3779B97F4A7C15ULL | 1;
    soak.slot = atoi(argv[5]);
    soak.requests = g_hash_table_new(g_str_hash, g_str_equal);
    soak.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    soak.start_us = soak_now_us();
    soak.end_us =
        soak.start_us + SOAK_WARMUP_US + atoi(argv[3]) * SOAK_SECOND_US;
    uv_loop_init(&soak.loop);
    soak.store = store_new(&soak);
    soak_configure(&soak);
    for (int i = 0; i < SOAK_SERVERS; i++) {
        server_open(&soak, &soak.servers[i], i);
    }
    for (int i = 0; i < SOAK_VMS; i++) {
        vm_open(&soak, &soak.vms[i], i);
    }
    soak_run_until(&soak, soak.start_us + SOAK_WARMUP_US, false, false);
    caller_start(&soak);
    soak_run_until(&soak, soak.end_us, true, true);
    fault_end_all(&soak);
    soak_run_until(&soak, soak_now_us() + SOAK_RECOVERY_US, true, false);
    soak_check_recovery(&soak);
    soak_stop_vms(&soak);
    caller_check_final(&soak);
    soak_report(&soak);
    return soak.violation_count > 0 ? 1 : 0;
}
