#include <signal.h>

#include "soak.h"

/* Faults begin every FLT_IVL on average and last up to FLT_MAX. */
#define FLT_IVL_US (SOK_US * 7 / 10)
#define FLT_MAX_US (5 * SOK_US)

typedef void (*flt_begin_cb)(struct sok *sok, int which, int64_t now_us);

struct flt_kind {
    const char *name;
    flt_begin_cb begin;
    flt_begin_cb end; /* NULL: nothing lasts */
    int count;        /* things it may hit */
};

/* A fault that lasts. */
struct flt {
    const struct flt_kind *kind;
    int which;
    int64_t until_us;
};

static GArray *flt_open_faults;
static int64_t flt_next_us;

static void
flt_kill(struct sok *sok, int which, int64_t now_us)
{
    svm_signal(&sok->vms[which], SIGKILL);
}

static void
flt_kill_all(struct sok *sok, int which, int64_t now_us)
{
    for (int i = 0; i < SOK_VMS; i++) {
        svm_signal(&sok->vms[i], SIGKILL);
    }
}

static void
flt_term(struct sok *sok, int which, int64_t now_us)
{
    svm_signal(&sok->vms[which], SIGTERM);
}

static void
flt_hup(struct sok *sok, int which, int64_t now_us)
{
    svm_signal(&sok->vms[which], SIGHUP);
}

static void
flt_pause(struct sok *sok, int which, int64_t now_us)
{
    svm_signal(&sok->vms[which], SIGSTOP);
}

static void
flt_resume(struct sok *sok, int which, int64_t now_us)
{
    svm_signal(&sok->vms[which], SIGCONT);
}

static void
flt_store_mode(struct sok *sok, enum sst_mode mode, int64_t now_us)
{
    sok->store_disturbed_us = now_us;
    sst_set_mode(sok->store, mode);
}

static void
flt_store_busy(struct sok *sok, int which, int64_t now_us)
{
    flt_store_mode(sok, SST_BUSY, now_us);
}

static void
flt_store_slow(struct sok *sok, int which, int64_t now_us)
{
    flt_store_mode(sok, SST_SLOW, now_us);
}

static void
flt_store_lost(struct sok *sok, int which, int64_t now_us)
{
    flt_store_mode(sok, SST_LOST, now_us);
}

static void
flt_store_ok(struct sok *sok, int which, int64_t now_us)
{
    flt_store_mode(sok, SST_OK, now_us);
}

/* Calls that wait are not answered, nor those that are made meanwhile. */
static void
flt_store_silent(struct sok *sok, int which, int64_t now_us)
{
    sok->is_store_silent = true;
    for (int i = 0; i < SOK_VMS; i++) {
        prx_set_mode(sok->vms[i].store_proxy, PRX_SILENT);
    }
}

/* New calls are answered; the connections from before stay open and dead. */
static void
flt_store_heard(struct sok *sok, int which, int64_t now_us)
{
    sok->is_store_silent = false;
    sok->store_disturbed_us = now_us;
    for (int i = 0; i < SOK_VMS; i++) {
        prx_set_mode(sok->vms[i].store_proxy, PRX_PASS);
        prx_silence(sok->vms[i].store_proxy);
    }
}

static void
flt_compact(struct sok *sok, int which, int64_t now_us)
{
    sok->store_disturbed_us = now_us;
    sst_compact(sok->store);
}

static void
flt_link_mode(struct sok *sok, int which, enum prx_mode mode, int64_t now_us)
{
    sok->vms[which].disturbed_us = now_us;
    prx_set_mode(sok->vms[which].store_proxy, mode);
}

static void
flt_link_silent(struct sok *sok, int which, int64_t now_us)
{
    flt_link_mode(sok, which, PRX_SILENT, now_us);
}

static void
flt_link_one_way(struct sok *sok, int which, int64_t now_us)
{
    flt_link_mode(sok, which, PRX_ONE_WAY, now_us);
}

static void
flt_link_refuse(struct sok *sok, int which, int64_t now_us)
{
    flt_link_mode(sok, which, PRX_REFUSE, now_us);
    prx_reset(sok->vms[which].store_proxy);
}

static void
flt_link_ok(struct sok *sok, int which, int64_t now_us)
{
    flt_link_mode(sok, which, PRX_PASS, now_us);
    /* What was cut does not come back to life. */
    prx_reset(sok->vms[which].store_proxy);
}

static void
flt_link_dead(struct sok *sok, int which, int64_t now_us)
{
    sok->vms[which].disturbed_us = now_us;
    prx_silence(sok->vms[which].store_proxy);
}

static void
flt_server_slow(struct sok *sok, int which, int64_t now_us)
{
    sok->servers[which].is_slow = true;
}

static void
flt_server_shed(struct sok *sok, int which, int64_t now_us)
{
    sok->servers[which].is_shedding = true;
}

static void
flt_server_spoil(struct sok *sok, int which, int64_t now_us)
{
    sok->servers[which].is_spoiling = true;
}

static void
flt_server_ok(struct sok *sok, int which, int64_t now_us)
{
    sok->servers[which].is_slow = false;
    sok->servers[which].is_shedding = false;
    sok->servers[which].is_spoiling = false;
}

static void
flt_server_dark(struct sok *sok, int which, int64_t now_us)
{
    prx_set_mode(sok->servers[which].proxy, PRX_SILENT);
}

static void
flt_server_delay(struct sok *sok, int which, int64_t now_us)
{
    prx_set_mode(sok->servers[which].proxy, PRX_DELAY);
}

static void
flt_server_refuse(struct sok *sok, int which, int64_t now_us)
{
    prx_set_mode(sok->servers[which].proxy, PRX_REFUSE);
    prx_reset(sok->servers[which].proxy);
}

static void
flt_server_link_ok(struct sok *sok, int which, int64_t now_us)
{
    prx_set_mode(sok->servers[which].proxy, PRX_PASS);
    prx_reset(sok->servers[which].proxy);
}

static void
flt_server_reset(struct sok *sok, int which, int64_t now_us)
{
    prx_reset(sok->servers[which].proxy);
}

static void
flt_server_silence(struct sok *sok, int which, int64_t now_us)
{
    prx_silence(sok->servers[which].proxy);
}

static void
flt_server_drain(struct sok *sok, int which, int64_t now_us)
{
    ssr_drain(&sok->servers[which]);
}

static void
flt_server_unlist(struct sok *sok, int which, int64_t now_us)
{
    ssr_unlist(&sok->servers[which]);
}

static void
flt_server_restart(struct sok *sok, int which, int64_t now_us)
{
    ssr_restart(&sok->servers[which]);
}

static void
flt_configure(struct sok *sok, int which, int64_t now_us)
{
    sok_configure(sok);
}

static void
flt_evacuate(struct sok *sok, int which, int64_t now_us)
{
    char name[16];
    json_t *spec = json_object();
    g_snprintf(name, sizeof(name), "dc%d", which);
    sst_put(sok->store, "evacuations", name, spec);
    json_decref(spec);
    sok->evacuated_us[which] = now_us;
}

static void
flt_return(struct sok *sok, int which, int64_t now_us)
{
    char name[16];
    g_snprintf(name, sizeof(name), "dc%d", which);
    sst_delete(sok->store, "evacuations", name);
    sok->evacuated_us[which] = 0;
}

static const struct flt_kind flt_kinds[] = {
    {"vm killed", flt_kill, NULL, SOK_VMS},
    {"all vms killed", flt_kill_all, NULL, 1},
    {"vm stopped", flt_term, NULL, SOK_VMS},
    {"vm stopped", flt_term, NULL, SOK_VMS},
    {"vm reloads", flt_hup, NULL, SOK_VMS},
    {"vm paused", flt_pause, flt_resume, SOK_VMS},
    {"store busy", flt_store_busy, flt_store_ok, 1},
    {"store slow", flt_store_slow, flt_store_ok, 1},
    {"store loses answers", flt_store_lost, flt_store_ok, 1},
    {"store silent", flt_store_silent, flt_store_heard, 1},
    {"store forgets", flt_compact, NULL, 1},
    {"store link silent", flt_link_silent, flt_link_ok, SOK_VMS},
    {"store link one way", flt_link_one_way, flt_link_ok, SOK_VMS},
    {"store link refused", flt_link_refuse, flt_link_ok, SOK_VMS},
    {"store connections dead", flt_link_dead, NULL, SOK_VMS},
    {"server slow", flt_server_slow, flt_server_ok, SOK_SERVERS},
    {"server sheds", flt_server_shed, flt_server_ok, SOK_SERVERS},
    {"server spoils", flt_server_spoil, flt_server_ok, SOK_SERVERS},
    {"server dark", flt_server_dark, flt_server_link_ok, SOK_SERVERS},
    {"server delayed", flt_server_delay, flt_server_link_ok, SOK_SERVERS},
    {"server refuses", flt_server_refuse, flt_server_link_ok, SOK_SERVERS},
    {"server resets", flt_server_reset, NULL, SOK_SERVERS},
    {"server connections dead", flt_server_silence, NULL, SOK_SERVERS},
    {"server drains", flt_server_drain, flt_server_restart, SOK_SERVERS},
    {"server leaves", flt_server_unlist, flt_server_restart, SOK_SERVERS},
    {"server restarts", flt_server_restart, NULL, SOK_SERVERS},
    {"configuration", flt_configure, NULL, 1},
    {"configuration", flt_configure, NULL, 1},
    {"data centre out", flt_evacuate, flt_return, SOK_DCS},
};

/* Whether the same thing is under a fault of this kind of end already. */
static bool
flt_is_open(const struct flt_kind *kind, int which)
{
    for (guint i = 0; i < flt_open_faults->len; i++) {
        const struct flt *fault =
            &g_array_index(flt_open_faults, struct flt, i);
        if (fault->kind->end == kind->end && fault->which == which) {
            return true;
        }
    }
    return false;
}

static void
flt_begin(struct sok *sok, int64_t now_us)
{
    const struct flt_kind *kind =
        &flt_kinds[sok_random(sok, G_N_ELEMENTS(flt_kinds))];
    int which = (int)sok_random(sok, (uint32_t)kind->count);
    int64_t lasts_us = SOK_US / 5 + sok_random(sok, FLT_MAX_US);
    if (kind->end != NULL && flt_is_open(kind, which)) {
        return;
    }
    g_print("%8.3f %s %d for %.1f\n",
            (double)(now_us - sok->start_us) / SOK_US, kind->name, which,
            kind->end != NULL ? (double)lasts_us / SOK_US : 0.0);
    sok_count(sok, kind->name);
    kind->begin(sok, which, now_us);
    if (kind->end != NULL) {
        struct flt fault = {kind, which, now_us + lasts_us};
        g_array_append_val(flt_open_faults, fault);
    }
}

static void
flt_end_due(struct sok *sok, int64_t now_us)
{
    for (guint i = flt_open_faults->len; i > 0; i--) {
        struct flt fault = g_array_index(flt_open_faults, struct flt, i - 1);
        if (now_us >= fault.until_us) {
            g_array_remove_index_fast(flt_open_faults, i - 1);
            fault.kind->end(sok, fault.which, now_us);
        }
    }
}

void
flt_tick(struct sok *sok, int64_t now_us)
{
    if (flt_open_faults == NULL) {
        flt_open_faults = g_array_new(FALSE, FALSE, sizeof(struct flt));
        flt_next_us = now_us + FLT_IVL_US;
    }
    flt_end_due(sok, now_us);
    if (now_us >= flt_next_us && now_us < sok->end_us) {
        flt_next_us = now_us + sok_random(sok, 2 * FLT_IVL_US);
        flt_begin(sok, now_us);
    }
}

void
flt_end(struct sok *sok)
{
    flt_end_due(sok, INT64_MAX);
}
