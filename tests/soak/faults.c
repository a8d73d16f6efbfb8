#include <signal.h>

#include "soak.h"

/* Faults begin every FAULT_IVL on average and last up to FAULT_MAX. */
#define FAULT_IVL_US (SOAK_US * 7 / 10)
#define FAULT_MAX_US (5 * SOAK_US)

typedef void (*fault_begin_cb)(struct soak *soak, int which, int64_t now_us);

struct fault_kind {
    const char *name;
    fault_begin_cb begin;
    fault_begin_cb end; /* NULL: nothing lasts */
    int count;          /* things it may hit */
};

/* A fault that lasts. */
struct fault {
    const struct fault_kind *kind;
    int which;
    int64_t until_us;
};

static GArray *fault_open_faults;
static int64_t fault_next_us;

static void
fault_kill(struct soak *soak, int which, int64_t now_us)
{
    vm_signal(&soak->vms[which], SIGKILL);
}

static void
fault_kill_all(struct soak *soak, int which, int64_t now_us)
{
    for (int i = 0; i < SOAK_VMS; i++) {
        vm_signal(&soak->vms[i], SIGKILL);
    }
}

static void
fault_term(struct soak *soak, int which, int64_t now_us)
{
    vm_signal(&soak->vms[which], SIGTERM);
}

static void
fault_hup(struct soak *soak, int which, int64_t now_us)
{
    vm_signal(&soak->vms[which], SIGHUP);
}

static void
fault_pause(struct soak *soak, int which, int64_t now_us)
{
    vm_signal(&soak->vms[which], SIGSTOP);
}

static void
fault_resume(struct soak *soak, int which, int64_t now_us)
{
    vm_signal(&soak->vms[which], SIGCONT);
}

static void
fault_store_mode(struct soak *soak, enum store_mode mode, int64_t now_us)
{
    soak->store_disturbed_us = now_us;
    store_set_mode(soak->store, mode);
}

static void
fault_store_busy(struct soak *soak, int which, int64_t now_us)
{
    fault_store_mode(soak, STORE_BUSY, now_us);
}

static void
fault_store_slow(struct soak *soak, int which, int64_t now_us)
{
    fault_store_mode(soak, STORE_SLOW, now_us);
}

static void
fault_store_lost(struct soak *soak, int which, int64_t now_us)
{
    fault_store_mode(soak, STORE_LOST, now_us);
}

static void
fault_store_ok(struct soak *soak, int which, int64_t now_us)
{
    fault_store_mode(soak, STORE_OK, now_us);
}

/* Calls that wait are not answered, nor those that are made meanwhile. */
static void
fault_store_silent(struct soak *soak, int which, int64_t now_us)
{
    soak->is_store_silent = true;
    for (int i = 0; i < SOAK_VMS; i++) {
        proxy_set_mode(soak->vms[i].store_proxy, PROXY_SILENT);
    }
}

/* New calls are answered; the connections from before stay open and dead. */
static void
fault_store_heard(struct soak *soak, int which, int64_t now_us)
{
    soak->is_store_silent = false;
    soak->store_disturbed_us = now_us;
    for (int i = 0; i < SOAK_VMS; i++) {
        proxy_set_mode(soak->vms[i].store_proxy, PROXY_PASS);
        proxy_silence(soak->vms[i].store_proxy);
    }
}

static void
fault_compact(struct soak *soak, int which, int64_t now_us)
{
    soak->store_disturbed_us = now_us;
    store_compact(soak->store);
}

static void
fault_link_mode(struct soak *soak, int which, enum proxy_mode mode,
                int64_t now_us)
{
    soak->vms[which].disturbed_us = now_us;
    proxy_set_mode(soak->vms[which].store_proxy, mode);
}

static void
fault_link_silent(struct soak *soak, int which, int64_t now_us)
{
    fault_link_mode(soak, which, PROXY_SILENT, now_us);
}

static void
fault_link_one_way(struct soak *soak, int which, int64_t now_us)
{
    fault_link_mode(soak, which, PROXY_ONE_WAY, now_us);
}

static void
fault_link_refuse(struct soak *soak, int which, int64_t now_us)
{
    fault_link_mode(soak, which, PROXY_REFUSE, now_us);
    proxy_reset(soak->vms[which].store_proxy);
}

static void
fault_link_ok(struct soak *soak, int which, int64_t now_us)
{
    fault_link_mode(soak, which, PROXY_PASS, now_us);
    /* What was cut does not come back to life. */
    proxy_reset(soak->vms[which].store_proxy);
}

static void
fault_link_dead(struct soak *soak, int which, int64_t now_us)
{
    soak->vms[which].disturbed_us = now_us;
    proxy_silence(soak->vms[which].store_proxy);
}

static void
fault_server_slow(struct soak *soak, int which, int64_t now_us)
{
    soak->servers[which].is_slow = true;
}

static void
fault_server_shed(struct soak *soak, int which, int64_t now_us)
{
    soak->servers[which].is_shedding = true;
}

static void
fault_server_spoil(struct soak *soak, int which, int64_t now_us)
{
    soak->servers[which].is_spoiling = true;
}

static void
fault_server_ok(struct soak *soak, int which, int64_t now_us)
{
    soak->servers[which].is_slow = false;
    soak->servers[which].is_shedding = false;
    soak->servers[which].is_spoiling = false;
}

static void
fault_server_dark(struct soak *soak, int which, int64_t now_us)
{
    proxy_set_mode(soak->servers[which].proxy, PROXY_SILENT);
}

static void
fault_server_delay(struct soak *soak, int which, int64_t now_us)
{
    proxy_set_mode(soak->servers[which].proxy, PROXY_DELAY);
}

static void
fault_server_refuse(struct soak *soak, int which, int64_t now_us)
{
    proxy_set_mode(soak->servers[which].proxy, PROXY_REFUSE);
    proxy_reset(soak->servers[which].proxy);
}

static void
fault_server_link_ok(struct soak *soak, int which, int64_t now_us)
{
    proxy_set_mode(soak->servers[which].proxy, PROXY_PASS);
    proxy_reset(soak->servers[which].proxy);
}

static void
fault_server_reset(struct soak *soak, int which, int64_t now_us)
{
    proxy_reset(soak->servers[which].proxy);
}

static void
fault_server_silence(struct soak *soak, int which, int64_t now_us)
{
    proxy_silence(soak->servers[which].proxy);
}

static void
fault_server_drain(struct soak *soak, int which, int64_t now_us)
{
    server_drain(&soak->servers[which]);
}

static void
fault_server_unlist(struct soak *soak, int which, int64_t now_us)
{
    server_unlist(&soak->servers[which]);
}

static void
fault_server_restart(struct soak *soak, int which, int64_t now_us)
{
    server_restart(&soak->servers[which]);
}

static void
fault_configure(struct soak *soak, int which, int64_t now_us)
{
    soak_configure(soak);
}

static void
fault_evacuate(struct soak *soak, int which, int64_t now_us)
{
    char name[16];
    json_t *spec = json_object();
    g_snprintf(name, sizeof(name), "dc%d", which);
    store_put(soak->store, "evacuations", name, spec);
    json_decref(spec);
    soak->evacuated_us[which] = now_us;
}

static void
fault_return(struct soak *soak, int which, int64_t now_us)
{
    char name[16];
    g_snprintf(name, sizeof(name), "dc%d", which);
    store_delete(soak->store, "evacuations", name);
    soak->evacuated_us[which] = 0;
}

static const struct fault_kind fault_kinds[] = {
    {"vm killed", fault_kill, NULL, SOAK_VMS},
    {"all vms killed", fault_kill_all, NULL, 1},
    {"vm stopped", fault_term, NULL, SOAK_VMS},
    {"vm stopped", fault_term, NULL, SOAK_VMS},
    {"vm reloads", fault_hup, NULL, SOAK_VMS},
    {"vm paused", fault_pause, fault_resume, SOAK_VMS},
    {"store busy", fault_store_busy, fault_store_ok, 1},
    {"store slow", fault_store_slow, fault_store_ok, 1},
    {"store loses answers", fault_store_lost, fault_store_ok, 1},
    {"store silent", fault_store_silent, fault_store_heard, 1},
    {"store forgets", fault_compact, NULL, 1},
    {"store link silent", fault_link_silent, fault_link_ok, SOAK_VMS},
    {"store link one way", fault_link_one_way, fault_link_ok, SOAK_VMS},
    {"store link refused", fault_link_refuse, fault_link_ok, SOAK_VMS},
    {"store connections dead", fault_link_dead, NULL, SOAK_VMS},
    {"server slow", fault_server_slow, fault_server_ok, SOAK_SERVERS},
    {"server sheds", fault_server_shed, fault_server_ok, SOAK_SERVERS},
    {"server spoils", fault_server_spoil, fault_server_ok, SOAK_SERVERS},
    {"server dark", fault_server_dark, fault_server_link_ok, SOAK_SERVERS},
    {"server delayed", fault_server_delay, fault_server_link_ok, SOAK_SERVERS},
    {"server refuses", fault_server_refuse, fault_server_link_ok,
     SOAK_SERVERS},
    {"server resets", fault_server_reset, NULL, SOAK_SERVERS},
    {"server connections dead", fault_server_silence, NULL, SOAK_SERVERS},
    {"server drains", fault_server_drain, fault_server_restart, SOAK_SERVERS},
    {"server leaves", fault_server_unlist, fault_server_restart, SOAK_SERVERS},
    {"server restarts", fault_server_restart, NULL, SOAK_SERVERS},
    {"configuration", fault_configure, NULL, 1},
    {"configuration", fault_configure, NULL, 1},
    {"data centre out", fault_evacuate, fault_return, SOAK_DCS},
};

/* Whether the same thing is under a fault of this kind of end already. */
static bool
fault_is_open(const struct fault_kind *kind, int which)
{
    for (guint i = 0; i < fault_open_faults->len; i++) {
        const struct fault *fault =
            &g_array_index(fault_open_faults, struct fault, i);
        if (fault->kind->end == kind->end && fault->which == which) {
            return true;
        }
    }
    return false;
}

static void
fault_begin(struct soak *soak, int64_t now_us)
{
    const struct fault_kind *kind =
        &fault_kinds[soak_random(soak, G_N_ELEMENTS(fault_kinds))];
    int which = (int)soak_random(soak, (uint32_t)kind->count);
    int64_t lasts_us = SOAK_US / 5 + soak_random(soak, FAULT_MAX_US);
    if (kind->end != NULL && fault_is_open(kind, which)) {
        return;
    }
    g_print("%8.3f %s %d for %.1f\n",
            (double)(now_us - soak->start_us) / SOAK_US, kind->name, which,
            kind->end != NULL ? (double)lasts_us / SOAK_US : 0.0);
    soak_count(soak, kind->name);
    kind->begin(soak, which, now_us);
    if (kind->end != NULL) {
        struct fault fault = {kind, which, now_us + lasts_us};
        g_array_append_val(fault_open_faults, fault);
    }
}

static void
fault_end_due(struct soak *soak, int64_t now_us)
{
    for (guint i = fault_open_faults->len; i > 0; i--) {
        struct fault fault =
            g_array_index(fault_open_faults, struct fault, i - 1);
        if (now_us >= fault.until_us) {
            g_array_remove_index_fast(fault_open_faults, i - 1);
            fault.kind->end(soak, fault.which, now_us);
        }
    }
}

void
fault_tick(struct soak *soak, int64_t now_us)
{
    if (fault_open_faults == NULL) {
        fault_open_faults = g_array_new(FALSE, FALSE, sizeof(struct fault));
        fault_next_us = now_us + FAULT_IVL_US;
    }
    fault_end_due(soak, now_us);
    if (now_us >= fault_next_us && now_us < soak->end_us) {
        fault_next_us = now_us + soak_random(soak, 2 * FAULT_IVL_US);
        fault_begin(soak, now_us);
    }
}

void
fault_end(struct soak *soak)
{
    fault_end_due(soak, INT64_MAX);
}
