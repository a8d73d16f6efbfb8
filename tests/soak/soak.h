#ifndef CH_SOAK_H
#define CH_SOAK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/http_client.h"
#include "common/http_server.h"

/*
 * Fault soak: real gateway processes, stand-ins of the platform's store and of
 * backend servers, loopback proxies between them, callers that check each
 * answer, and a seeded schedule of faults. One run is one process beside the
 * gateways.
 */

#define SOK_VMS 4
#define SOK_SHARDS 6
#define SOK_REPLICAS 2
/* Services for requests to one backend server: before and after a change of
 * the route. */
#define SOK_SINGLES 2
#define SOK_SERVICES (SOK_SHARDS + SOK_SINGLES)
#define SOK_SERVERS (SOK_SERVICES * SOK_REPLICAS)
#define SOK_DCS 2

#define SOK_US 1000000LL

#define SOK_ADDRESS_BYTES 32
/* Last number of the addresses, and ports. */
#define SOK_HOST 1
#define SOK_VM_HOST 11
#define SOK_STORE_PORT 23000
#define SOK_STORE_PROXY_PORT 23010
#define SOK_SERVER_PORT 23100
#define SOK_SERVER_PROXY_PORT 23200
#define SOK_REQUEST_PORT 23400

/* Bounds that the gateways are given and that are checked. */
#define SOK_DRAIN_US (3 * SOK_US)
#define SOK_CONFIG_US (3 * SOK_US)
#define SOK_EVACUATE_US (5 * SOK_US)
#define SOK_GRACE_US (6 * SOK_US)
/* A VM and the store must have been undisturbed for this long before a bound
 * of time is held against it. */
#define SOK_CALM_US (4 * SOK_US)
#define SOK_EXTRA_PERMILLE 200
#define SOK_EXTRA_COUNT 52
#define SOK_WINDOW_US (10 * SOK_US)

struct sok;

/* proxy.c: one listener that forwards to another address. */
enum prx_mode {
    PRX_PASS,
    PRX_DELAY,   /* bytes wait for PRX_DELAY_MS */
    PRX_REFUSE,  /* new connections are reset */
    PRX_SILENT,  /* nothing passes, nothing is closed */
    PRX_ONE_WAY, /* answers do not come back */
};
struct prx;
struct prx *prx_new(struct sok *sok, const char *listen, const char *target);
void prx_set_mode(struct prx *proxy, enum prx_mode mode);
/* Resets the open connections, or silences them for good while new ones
 * work. */
void prx_reset(struct prx *proxy);
void prx_silence(struct prx *proxy);

/* store.c: the platform's store behind one proxy for each VM. */
enum sst_mode {
    SST_OK,
    SST_BUSY, /* 503 */
    SST_SLOW, /* answers after SST_SLOW_MS */
    SST_LOST, /* writes are done and not answered */
};
struct sst;
struct sst *sst_new(struct sok *sok);
void sst_put(struct sst *store, const char *kind, const char *name,
             json_t *spec);
void sst_delete(struct sst *store, const char *kind, const char *name);
void sst_set_mode(struct sst *store, enum sst_mode mode);
/* Watches end and the history is forgotten. */
void sst_compact(struct sst *store);

/* server.c: backend servers. */
struct ssr {
    struct sok *sok;
    int index;
    int service;
    int dc;
    char id[32];
    char address[SOK_ADDRESS_BYTES]; /* of its proxy */
    struct prx *proxy;
    struct hsv_server *server;
    int starts; /* a new one has a new id */
    bool is_listed;
    bool is_draining;
    int64_t drained_us; /* when the store took its draining or end */
    bool is_slow;
    bool is_shedding;
    bool is_spoiling; /* answers belong to other requests */
};
void ssr_open(struct sok *sok, struct ssr *server, int index);
void ssr_list(struct ssr *server);
void ssr_drain(struct ssr *server);
void ssr_unlist(struct ssr *server);
/* Another process under a new id, listed at once. */
void ssr_restart(struct ssr *server);

/* vm.c: one gateway process. */
struct svm {
    struct sok *sok;
    int index;
    char name[16];
    char ip[16];
    char *settings;
    struct prx *store_proxy;
    uv_process_t process;
    bool is_running;
    bool is_paused;
    bool is_stopping;     /* SIGTERM was sent */
    bool was_killed;      /* SIGKILL was sent */
    int64_t disturbed_us; /* last fault on it, its store link included */
    int64_t started_us;
    int64_t stopped_us; /* when SIGTERM was sent */
    int64_t resumed_us; /* last SIGSTOP or SIGCONT */
    uint32_t incarnation;
    int64_t seen_version; /* newest configuration seen in effect */
};
void svm_open(struct sok *sok, struct svm *vm, int index);
void svm_start(struct svm *vm);
void svm_signal(struct svm *vm, int number);

/* caller.c: requests and what must hold for their answers. */
void scl_start(struct sok *sok);
void scl_tick(struct sok *sok, int64_t now_us);
/* A backend server runs a request, or refuses it. */
void scl_on_arrival(struct sok *sok, struct ssr *server, const char *id,
                    const char *target, bool runs);
/* Checks what can only be judged at the end. */
void scl_finish(struct sok *sok);

/* faults.c: the schedule. */
void flt_tick(struct sok *sok, int64_t now_us);
void flt_end(struct sok *sok);

struct sok {
    uv_loop_t loop;
    uint64_t random;
    int64_t start_us;
    int64_t end_us;      /* no new faults */
    int slot;            /* third number of all addresses: 127.0.SLOT.x */
    const char *gateway; /* path of the program */
    char *folder;        /* for settings and logs */
    struct sst *store;
    struct ssr servers[SOK_SERVERS];
    struct svm vms[SOK_VMS];
    int64_t store_disturbed_us; /* last fault of the whole store */
    bool is_store_silent;
    int64_t version;               /* of the newest configuration */
    int64_t version_us;            /* when the store took it */
    int64_t evacuated_us[SOK_DCS]; /* since when, 0: not */
    GHashTable *asks;              /* id -> what caller.c knows */
    GHashTable *counts;            /* name -> number, for the report */
    uint32_t violation_count;
};

int64_t sok_now_us(void);
/* "127.0.SLOT.HOST:PORT" in `out`, which takes 32 bytes. */
void sok_address(const struct sok *sok, int host, int port, char *out);
/* A number below `limit`. */
uint32_t sok_random(struct sok *sok, uint32_t limit);
void sok_count(struct sok *sok, const char *name);
/* Prints a broken promise and counts it. */
void sok_violation(struct sok *sok, const char *rule, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Whether the VM and the store have been undisturbed since `since_us` less
 * SOK_CALM_US. */
bool sok_is_calm(const struct sok *sok, const struct svm *vm,
                 int64_t since_us);
/* Writes the configuration with the next version: single requests go to one of
 * two services, by the version's parity. */
void sok_configure(struct sok *sok);
int sok_single_service(int64_t version);
int sok_service_of(const char *stamp);

#endif
