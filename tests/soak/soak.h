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

#define SOAK_VMS 4
#define SOAK_SHARDS 6
#define SOAK_REPLICAS 2
/* Services for requests to one backend server: before and after a change of
 * the route. */
#define SOAK_SINGLES 2
#define SOAK_SERVICES (SOAK_SHARDS + SOAK_SINGLES)
#define SOAK_SERVERS (SOAK_SERVICES * SOAK_REPLICAS)
#define SOAK_DCS 2

#define SOAK_US 1000000LL

#define SOAK_ADDRESS_BYTES 32
/* Last number of the addresses, and ports. */
#define SOAK_HOST 1
#define SOAK_VM_HOST 11
#define SOAK_STORE_PORT 23000
#define SOAK_STORE_PROXY_PORT 23010
#define SOAK_SERVER_PORT 23100
#define SOAK_SERVER_PROXY_PORT 23200
#define SOAK_REQUEST_PORT 23400

/* Bounds that the gateways are given and that are checked. */
#define SOAK_DRAIN_US (3 * SOAK_US)
#define SOAK_CONFIG_US (3 * SOAK_US)
#define SOAK_EVACUATE_US (5 * SOAK_US)
#define SOAK_GRACE_US (6 * SOAK_US)
/* A VM and the store must have been undisturbed for this long before a bound
 * of time is held against it. */
#define SOAK_CALM_US (4 * SOAK_US)
#define SOAK_EXTRA_PERMILLE 200
#define SOAK_EXTRA_COUNT 52
#define SOAK_WINDOW_US (10 * SOAK_US)

struct soak;

/* proxy.c: one listener that forwards to another address. */
enum proxy_mode {
    PROXY_PASS,
    PROXY_DELAY,   /* bytes wait for PROXY_DELAY_MS */
    PROXY_REFUSE,  /* new connections are reset */
    PROXY_SILENT,  /* nothing passes, nothing is closed */
    PROXY_ONE_WAY, /* answers do not come back */
};
struct proxy;
struct proxy *proxy_new(struct soak *soak, const char *listen,
                        const char *target);
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
/* Resets the open connections, or silences them for good while new ones
 * work. */
void proxy_reset(struct proxy *proxy);
void proxy_silence(struct proxy *proxy);

/* store.c: the platform's store behind one proxy for each VM. */
enum store_mode {
    STORE_OK,
    STORE_BUSY, /* 503 */
    STORE_SLOW, /* answers after STORE_SLOW_MS */
    STORE_LOST, /* writes are done and not answered */
};
struct store;
struct store *store_new(struct soak *soak);
void store_put(struct store *store, const char *kind, const char *name,
               json_t *spec);
void store_delete(struct store *store, const char *kind, const char *name);
void store_set_mode(struct store *store, enum store_mode mode);
/* Watches end and the history is forgotten. */
void store_compact(struct store *store);

/* server.c: backend servers. */
struct server {
    struct soak *soak;
    int index;
    int service;
    int dc;
    char id[32];
    char address[SOAK_ADDRESS_BYTES]; /* of its proxy */
    struct proxy *proxy;
    struct http_server *server;
    int starts; /* a new one has a new id */
    bool is_listed;
    bool is_draining;
    int64_t drained_us; /* when the store took its draining or end */
    bool is_slow;
    bool is_shedding;
    bool is_spoiling; /* answers belong to other requests */
};
void server_open(struct soak *soak, struct server *server, int index);
void server_list(struct server *server);
void server_drain(struct server *server);
void server_unlist(struct server *server);
/* Another process under a new id, listed at once. */
void server_restart(struct server *server);

/* vm.c: one gateway process. */
struct vm {
    struct soak *soak;
    int index;
    char name[16];
    char ip[16];
    char *settings;
    struct proxy *store_proxy;
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
void vm_open(struct soak *soak, struct vm *vm, int index);
void vm_start(struct vm *vm);
void vm_signal(struct vm *vm, int number);

/* caller.c: requests and what must hold for their answers. */
void caller_start(struct soak *soak);
void caller_tick(struct soak *soak, int64_t now_us);
/* A backend server runs a request, or refuses it. */
void caller_on_arrival(struct soak *soak, struct server *server,
                       const char *id, const char *target, bool runs);
/* Checks what can only be judged at the end. */
void caller_finish(struct soak *soak);

/* faults.c: the schedule. */
void fault_tick(struct soak *soak, int64_t now_us);
void fault_end(struct soak *soak);

struct soak {
    uv_loop_t loop;
    uint64_t random;
    int64_t start_us;
    int64_t end_us;      /* no new faults */
    int slot;            /* third number of all addresses: 127.0.SLOT.x */
    const char *gateway; /* path of the program */
    char *folder;        /* for settings and logs */
    struct store *store;
    struct server servers[SOAK_SERVERS];
    struct vm vms[SOAK_VMS];
    int64_t store_disturbed_us; /* last fault of the whole store */
    bool is_store_silent;
    int64_t version;                /* of the newest configuration */
    int64_t version_us;             /* when the store took it */
    int64_t evacuated_us[SOAK_DCS]; /* since when, 0: not */
    GHashTable *asks;               /* id -> what caller.c knows */
    GHashTable *counts;             /* name -> number, for the report */
    uint32_t violation_count;
};

int64_t soak_now_us(void);
/* "127.0.SLOT.HOST:PORT" in `out`, which takes 32 bytes. */
void soak_address(const struct soak *soak, int host, int port, char *out);
/* A number below `limit`. */
uint32_t soak_random(struct soak *soak, uint32_t limit);
void soak_count(struct soak *soak, const char *name);
/* Prints a broken promise and counts it. */
void soak_violation(struct soak *soak, const char *rule, const char *format,
                    ...) __attribute__((format(printf, 3, 4)));
/* Whether the VM and the store have been undisturbed since `since_us` less
 * SOAK_CALM_US. */
bool soak_is_calm(const struct soak *soak, const struct vm *vm,
                  int64_t since_us);
/* Writes the configuration with the next version: single requests go to one of
 * two services, by the version's parity. */
void soak_configure(struct soak *soak);
int soak_single_service(int64_t version);
int soak_service_of(const char *stamp);

#endif
