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
 * Fault soak: runs real gateway processes against stand-ins of the platform's
 * store and of the backend servers, with TCP proxies between them, injects
 * faults from a seeded random series, and checks each response that a caller
 * gets. All but the gateways is one process with one libuv loop, which owns
 * all state in struct soak. Times are microseconds of the monotonic clock.
 */

#define SOAK_VMS 4
/* Shards that the gather route queries, each a service of its own. */
#define SOAK_SHARDS 6
#define SOAK_REPLICAS 2
/* Services that the routes to one backend server switch between with each
 * configuration. */
#define SOAK_SINGLE_SERVICES 2
#define SOAK_SERVICES (SOAK_SHARDS + SOAK_SINGLE_SERVICES)
#define SOAK_SERVERS (SOAK_SERVICES * SOAK_REPLICAS)
#define SOAK_DCS 2

#define SOAK_SECOND_US 1000000LL

#define SOAK_ADDRESS_BYTES 32
/* Last byte of the IPv4 addresses (VMs count up from SOAK_FIRST_VM_HOST), and
 * ports. */
#define SOAK_STANDIN_HOST 1
#define SOAK_FIRST_VM_HOST 11
#define SOAK_STORE_PORT 23000
#define SOAK_STORE_PROXY_PORT 23010
#define SOAK_SERVER_PORT 23100
#define SOAK_SERVER_PROXY_PORT 23200
#define SOAK_REQUEST_PORT 23400

/* Limits that are checked; grace period, configuration limit and budget are
 * also written into the settings of the gateways. */
#define SOAK_DRAIN_LIMIT_US (3 * SOAK_SECOND_US)
#define SOAK_CONFIG_LIMIT_US (3 * SOAK_SECOND_US)
#define SOAK_EVACUATE_LIMIT_US (5 * SOAK_SECOND_US)
/* Retry-After of a backend server that wants no requests. */
#define SOAK_BACKOFF_S 2
#define SOAK_GRACE_US (6 * SOAK_SECOND_US)
/* A time limit is checked at a VM only if neither the VM nor the store had a
 * fault for this long before the time from which the limit counts. */
#define SOAK_UNDISTURBED_US (4 * SOAK_SECOND_US)
/* Extra sends (retries and hedges) allowed per window: a share of the requests
 * plus a fixed number. */
#define SOAK_BUDGET_PERMILLE 200
#define SOAK_BUDGET_COUNT 52
#define SOAK_BUDGET_WINDOW_US (10 * SOAK_SECOND_US)

struct soak;

/* proxy.c: TCP proxy that listens on one address and forwards to another. */
enum proxy_mode {
    PROXY_PASS,
    PROXY_DELAY,   /* forwards after PROXY_DELAY_MS */
    PROXY_REFUSE,  /* resets new connections */
    PROXY_SILENT,  /* drops all bytes and keeps connections open */
    PROXY_ONE_WAY, /* drops what the target sends */
    PROXY_REPEAT,  /* sends some bytes of the target a second time, later */
    PROXY_CUT,     /* closes within some chunks that the target sends */
};
struct proxy;
struct proxy *proxy_new(struct soak *soak, const char *listen,
                        const char *target);
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
void proxy_reset_connections(struct proxy *proxy);
/* Drops all bytes on the connections open at the call, until they are closed;
 * later connections are forwarded. */
void proxy_silence_connections(struct proxy *proxy);
/* Whether it has only forwarded bytes, with no fault since that time. */
bool proxy_is_passing_since(const struct proxy *proxy, int64_t since_us);

/* store.c: stand-in of the platform's store. Each VM reaches it through its
 * own proxy. */
enum store_mode {
    STORE_OK,
    STORE_BUSY,         /* answers 503 */
    STORE_SLOW,         /* answers after STORE_SLOW_MS */
    STORE_LOSE_REPLIES, /* applies writes without answering them */
    STORE_CONTRADICT,   /* says 409 to each create, 404 to each replace */
};
struct store;
struct store *store_new(struct soak *soak);
/* Creates or replaces the object; keeps a reference to `spec`. */
void store_put(struct store *store, const char *kind, const char *name,
               json_t *spec);
/* The same with bytes of another writer in the place of the spec. */
void store_put_raw(struct store *store, const char *kind, const char *name,
                   const char *raw);
void store_delete(struct store *store, const char *kind, const char *name);
void store_set_mode(struct store *store, enum store_mode mode);
/* Drops the history of changes and answers all watches with 410. */
void store_compact(struct store *store);

/* What a backend server has told one VM. */
struct server_notice {
    uint32_t vm_incarnation; /* of the process that was told */
    int64_t leaving_us; /* when the VM passed on that it leaves, 0: not yet */
    int64_t backoff_us; /* when it last wanted no requests, 0: never */
    int64_t backoff_until_us;
    int backoff_arrivals; /* requests that came nevertheless */
};

/* server.c: stand-in of a backend server behind its proxy. */
struct server {
    struct soak *soak;
    int index;
    int service;
    int dc;
    char id[32];
    char address[SOAK_ADDRESS_BYTES]; /* of its proxy */
    struct proxy *proxy;
    struct http_server *server;
    int incarnation; /* number of its process, part of the id */
    bool is_registered;
    bool is_draining;
    int64_t leaving_since_us; /* when it was written as draining or was
                               * deleted; 0: neither */
    bool is_slow;
    bool is_shedding;
    bool is_announcing;  /* each answer says that it leaves */
    bool is_backing_off; /* rejects all requests and wants none */
    struct server_notice notices[SOAK_VMS];
    bool is_corrupting; /* some answers carry the id of another request */
    bool is_long;       /* some answers are longer than any gateway takes */
};
void server_open(struct soak *soak, struct server *server, int index);
/* Writes its entry into the store. */
void server_register(struct server *server);
void server_drain(struct server *server);
void server_deregister(struct server *server);
/* Replaces it by a process with a new id, which is registered at once. */
void server_restart(struct server *server);

struct vm;
/* notice.c: the VM passed on an answer in which the backend server says that
 * it leaves. */
void notice_on_leaving(struct server *server, const struct vm *vm);
/* The backend server rejects a request of the VM and wants no more. */
void notice_on_backoff(struct server *server, const struct vm *vm);
/* A request, which its caller sent at `sent_us`, arrived from the VM. */
void notice_on_arrival(struct server *server, const struct vm *vm,
                       const char *id, int64_t sent_us);

/* vm.c: one gateway process. */
struct vm {
    struct soak *soak;
    int index;
    char name[16];
    char ip[16];
    char *settings;
    struct proxy *store_proxy; /* between this VM and the store */
    uv_process_t process;
    bool is_running;
    bool is_paused;
    bool is_stopping;     /* SIGTERM was sent */
    bool was_killed;      /* SIGKILL was sent */
    int64_t disturbed_us; /* last fault of the VM or of its store link */
    int64_t started_us;
    int64_t stopped_us;           /* when SIGTERM was sent */
    int64_t paused_or_resumed_us; /* last SIGSTOP or SIGCONT */
    uint32_t incarnation;         /* number of its process */
    int64_t seen_version; /* newest configuration that an answer showed */
};
void vm_open(struct soak *soak, struct vm *vm, int index);
void vm_start(struct vm *vm);
void vm_signal(struct vm *vm, int number);

/* caller.c: sends requests and checks their responses. */
void caller_start(struct soak *soak);
void caller_tick(struct soak *soak, int64_t now_us);
/* Records that a request reached a backend server, which executes or refuses
 * it. */
void caller_on_arrival(struct soak *soak, struct server *server,
                       const char *id, const char *target, bool is_executed);
/* The VM that the caller sent the request to, or NULL for an unknown id. */
struct vm *caller_vm_of(struct soak *soak, const char *id);
/* Checks what is known only at the end: requests that were executed after a
 * response said that they were not, and the budget of extra sends. */
void caller_check_final(struct soak *soak);

/* faults.c: starts random faults and ends them. */
void fault_tick(struct soak *soak, int64_t now_us);
/* Ends all faults that last. */
void fault_end_all(struct soak *soak);

struct soak {
    uv_loop_t loop;
    uint64_t random_state;
    int64_t start_us;
    int64_t end_us;      /* no new faults from this time on; 0: processes
                          * that end are not started again */
    int slot;            /* third byte of all addresses: 127.0.SLOT.x */
    const char *gateway; /* path of the program */
    char *folder;        /* for settings and logs of the gateways */
    struct store *store;
    struct server servers[SOAK_SERVERS];
    struct vm vms[SOAK_VMS];
    int64_t store_disturbed_us; /* last fault of the whole store */
    bool is_store_silent;
    int64_t config_version;    /* of the newest configuration */
    int64_t config_written_us; /* when the store got it */
    /* When the data centre was evacuated; 0: it is in use. */
    int64_t evacuated_since_us[SOAK_DCS];
    GHashTable *requests; /* id -> struct caller_request */
    /* name -> number, for the report; caller.c adds a key with 0 for each
     * request and service. */
    GHashTable *counts;
    uint32_t violation_count;
};

int64_t soak_now_us(void);
/* Writes "127.0.SLOT.HOST:PORT" to `out` of SOAK_ADDRESS_BYTES. */
void soak_address(const struct soak *soak, int host, int port, char *out);
/* Draws a number below `limit` from the seeded series. */
uint32_t soak_random(struct soak *soak, uint32_t limit);
void soak_count(struct soak *soak, const char *name);
/* Prints and counts a violation of `rule`. */
void soak_violation(struct soak *soak, const char *rule, const char *format,
                    ...) __attribute__((format(printf, 3, 4)));
/* Whether the VM runs and neither it nor the store has had a fault since
 * SOAK_UNDISTURBED_US before `since_us`. */
bool soak_is_undisturbed(const struct soak *soak, const struct vm *vm,
                         int64_t since_us);
/* Writes a configuration with the next version (versions are even) to the
 * store. */
void soak_configure(struct soak *soak);
/* The service, counted from SOAK_SHARDS, to which this configuration version
 * routes requests for one backend server. */
int soak_single_service(int64_t config_version);
/* The index of the service that wrote the stamp "s<index>-...". */
int soak_service_of(const char *stamp);

#endif
