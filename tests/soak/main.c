#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "soak.h"

#define SOK_TICK_MS 5
#define SOK_START_US (3 * SOK_US)
/* After the last fault ended all must be served again within this time. */
#define SOK_RECOVER_US (6 * SOK_US)
#define SOK_RECOVER_CHECK_US (2 * SOK_US)

int64_t
sok_now_us(void)
{
    return g_get_monotonic_time();
}

void
sok_address(const struct sok *sok, int host, int port, char *out)
{
    g_snprintf(out, SOK_ADDRESS_BYTES, "127.0.%d.%d:%d", sok->slot, host,
               port);
}

uint32_t
sok_random(struct sok *sok, uint32_t limit)
{
    uint64_t state = sok->random;
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    sok->random = state;
    return (uint32_t)((state * 0x2545F4914F6CDD1DULL) >> 33) % limit;
}

static uint32_t
sok_total(const struct sok *sok, const char *name)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(sok->counts, name));
}

void
sok_count(struct sok *sok, const char *name)
{
    g_hash_table_insert(sok->counts, g_strdup(name),
                        GUINT_TO_POINTER(sok_total(sok, name) + 1));
}

void
sok_violation(struct sok *sok, const char *rule, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_print("%8.3f BROKEN %s: %s\n",
            (double)(sok_now_us() - sok->start_us) / SOK_US, rule, text);
    g_free(text);
    sok->violation_count += 1;
}

bool
sok_is_calm(const struct sok *sok, const struct svm *vm, int64_t since_us)
{
    return vm->is_running && !vm->is_paused && !vm->is_stopping &&
           !sok->is_store_silent &&
           vm->disturbed_us < since_us - SOK_CALM_US &&
           sok->store_disturbed_us < since_us - SOK_CALM_US;
}

int
sok_single_service(int64_t version)
{
    return (int)(version / 2 % SOK_SINGLES);
}

static json_t *
sok_route(const char *name, const char *type, const char *service)
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
sok_configure(struct sok *sok)
{
    json_t *services = json_array();
    json_t *shards = json_array();
    char name[16];
    sok->version += 2;
    for (int i = 0; i < SOK_SERVICES; i++) {
        g_snprintf(name, sizeof(name), "service%d", i);
        json_array_append_new(services,
                              json_pack("{s:s,s:s,s:i,s:i,s:i}", "name", name,
                                        "health_path", "/health", "max_conns",
                                        40, "warmup_s", 3, "warmup_per_s", 0));
        if (i < SOK_SHARDS) {
            json_array_append_new(shards, json_string(name));
        }
    }
    g_snprintf(name, sizeof(name), "service%d",
               SOK_SHARDS + sok_single_service(sok->version));
    json_t *gather = sok_route("gather", "idempotent", NULL);
    json_object_set_new(gather, "gather", shards);
    json_object_set_new(gather, "top_k", json_integer(10));
    json_object_set_new(gather, "min_coverage", json_real(0.66));
    json_t *spec = json_pack(
        "{s:I,s:[o,o,o],s:o,s:{s:i,s:i,s:i,s:i}}", "version",
        (json_int_t)sok->version, "routes", gather,
        sok_route("single", "idempotent", name),
        sok_route("once", "non_idempotent", name), "services", services,
        "limits", "max_header_bytes", 16384, "max_body_bytes", 262144,
        "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
    sst_put(sok->store, "config", "main", spec);
    json_decref(spec);
    sok->version_us = sok_now_us();
}

/* Entries that a lost answer or an outage kept out are written as the
 * backend servers' heartbeats would. */
static void
sok_run_until(struct sok *sok, int64_t until_us, bool has_load,
              bool has_faults)
{
    while (sok_now_us() < until_us) {
        uv_run(&sok->loop, UV_RUN_NOWAIT);
        int64_t now_us = sok_now_us();
        if (has_load) {
            scl_tick(sok, now_us);
        }
        if (has_faults) {
            flt_tick(sok, now_us);
        }
        g_usleep(SOK_TICK_MS * 100);
    }
}

static uint32_t
sok_good(const struct sok *sok)
{
    return sok_total(sok, "complete") + sok_total(sok, "partial") +
           sok_total(sok, "served");
}

static void
sok_check_recovery(struct sok *sok)
{
    uint32_t asked = sok_total(sok, "asked");
    uint32_t good = sok_good(sok);
    sok_run_until(sok, sok_now_us() + SOK_RECOVER_CHECK_US, true, false);
    asked = sok_total(sok, "asked") - asked;
    good = sok_good(sok) - good;
    if (good * 10 < asked * 9) {
        sok_violation(sok, "recover", "%u of %u served after the faults", good,
                      asked);
    }
}

static void
sok_stop_vms(struct sok *sok)
{
    sok->end_us = 0;
    for (int i = 0; i < SOK_VMS; i++) {
        if (!sok->vms[i].is_stopping) {
            svm_signal(&sok->vms[i], SIGTERM);
        }
    }
    int64_t limit_us = sok_now_us() + SOK_GRACE_US + SOK_US;
    bool is_running = true;
    while (is_running && sok_now_us() < limit_us) {
        uv_run(&sok->loop, UV_RUN_NOWAIT);
        g_usleep(1000);
        is_running = false;
        for (int i = 0; i < SOK_VMS; i++) {
            is_running = is_running || sok->vms[i].is_running;
        }
    }
    for (int i = 0; i < SOK_VMS; i++) {
        if (sok->vms[i].is_running) {
            sok_violation(sok, "stop", "%s does not stop", sok->vms[i].name);
            svm_signal(&sok->vms[i], SIGKILL);
        }
    }
    uv_run(&sok->loop, UV_RUN_NOWAIT);
}

static void
sok_report(const struct sok *sok)
{
    GList *names = g_hash_table_get_keys(sok->counts);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    for (GList *name = names; name != NULL; name = name->next) {
        uint32_t count = sok_total(sok, name->data);
        if (count > 0) {
            g_print("count %s %u\n", (const char *)name->data, count);
        }
    }
    g_list_free(names);
    g_print("%u promises broken\n", sok->violation_count);
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        (void)fprintf(stderr, "usage: %s GATEWAY FOLDER SECONDS SEED SLOT\n",
                      argv[0]);
        return 2;
    }
    static struct sok sok;
    (void)signal(SIGPIPE, SIG_IGN);
    sok.gateway = argv[1];
    sok.folder = argv[2];
    sok.random = strtoull(argv[4], NULL, 10) * 0x9E3779B97F4A7C15ULL | 1;
    sok.slot = atoi(argv[5]);
    sok.asks = g_hash_table_new(g_str_hash, g_str_equal);
    sok.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sok.start_us = sok_now_us();
    sok.end_us = sok.start_us + SOK_START_US + atoi(argv[3]) * SOK_US;
    uv_loop_init(&sok.loop);
    sok.store = sst_new(&sok);
    sok_configure(&sok);
    for (int i = 0; i < SOK_SERVERS; i++) {
        ssr_open(&sok, &sok.servers[i], i);
    }
    for (int i = 0; i < SOK_VMS; i++) {
        svm_open(&sok, &sok.vms[i], i);
    }
    sok_run_until(&sok, sok.start_us + SOK_START_US, false, false);
    scl_start(&sok);
    sok_run_until(&sok, sok.end_us, true, true);
    flt_end(&sok);
    sok_run_until(&sok, sok_now_us() + SOK_RECOVER_US, true, false);
    sok_check_recovery(&sok);
    sok_stop_vms(&sok);
    scl_finish(&sok);
    sok_report(&sok);
    return sok.violation_count > 0 ? 1 : 0;
}
