#ifndef WORLD_H
#define WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/*
 * Stand-ins for one case of the review: the platform's store, searchers,
 * clients, and the gateways as processes of their own. Everything but the
 * gateways runs in one process on one thread. Times are seconds since the
 * start of the case. Only libc is used.
 */

#define WORLD_HEADERS_MAX 64
#define WORLD_WINDOW_S 1.0

struct conn;

/* A received request or response. */
struct message {
    char *start[3]; /* method, target, version; or version, status, reason */
    char *names[WORLD_HEADERS_MAX];
    char *values[WORLD_HEADERS_MAX];
    int header_count;
    char *body;
    size_t body_bytes;
};

/* Returns the value of the header, or NULL. */
const char *message_header(const struct message *message, const char *name);

/* --- clock and timers --- */

double world_now(void);
typedef void (*world_timer_cb)(void *ctx);
void world_after(double delay_s, world_timer_cb callback, void *ctx);
/* Runs until `end_s`. */
void world_run(double end_s);

/* --- set-up --- */

/* Takes a free network 127.NET.0.0/16, a temporary folder and the record. */
void world_init(const char *record_path);
/* Writes "127.NET.HOST_HIGH.HOST_LOW:PORT". */
void world_address(char out[32], int high, int low, int port);
/* Writes a line with the time to the record. */
void world_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes, writes the verdict and exits: 1 if `is_broken`, else 0.
 */
void world_finish(bool is_broken, const char *format, ...)
    __attribute__((format(printf, 2, 3), noreturn));
/* The same with exit status 2: the case could not run. */
void world_give_up(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/* Whether the disruption is to take place: not with TROUBLE=0. */
bool world_has_trouble(void);

/* --- HTTP connections --- */

typedef void (*conn_message_cb)(struct conn *conn, struct message *message);
typedef void (*conn_closed_cb)(struct conn *conn);
typedef void (*listener_accept_cb)(struct conn *conn, void *ctx);

struct conn {
    int fd; /* -1: closed */
    bool is_client;
    bool is_head; /* the response has no body */
    char *in;
    size_t in_bytes;
    size_t in_size;
    char *out;
    size_t out_bytes;
    size_t out_size;
    bool closes_after_write;
    conn_message_cb on_message;
    conn_closed_cb on_closed;
    void *ctx;
    uint64_t serial; /* unique; a closed connection is freed later */
    struct conn *next;
};

/* Returns NULL if it cannot connect. */
struct conn *conn_connect(const char *address, conn_message_cb on_message,
                          conn_closed_cb on_closed, void *ctx);
void conn_write(struct conn *conn, const char *bytes, size_t count);
void conn_printf(struct conn *conn, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void conn_close(struct conn *conn);
/* Closes with a reset. */
void conn_reset(struct conn *conn);
/* Returns the connection if it is still open. */
struct conn *conn_find(uint64_t serial);

struct listener;
struct listener *listener_open(const char *address,
                               listener_accept_cb on_accept, void *ctx);
void listener_close(struct listener *listener);

/* --- the platform's store --- */

void store_open(void);
extern char store_address[32];
/* Writes a configuration with one route, /order/ on desk.example, to the
 * service "desk", whose cold searchers take `warmup_per_s` requests a second.
 */
void store_put_config(const char *type, double warmup_s, double warmup_per_s);
/* Creates or replaces an object; `spec` is JSON text. */
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);

/* --- searchers --- */

struct searcher {
    char id[32];
    char service[32];
    char zone[32];
    char address[32];
    int slots;
    double work_s;
    double heartbeat_s;
    int64_t born_ms;
    int seq;
    bool is_up;
    bool is_draining;
    bool says_leaving; /* Server-Leaving in each answer */
    double cold_until;
    double cold_from;
    struct listener *listener;
    struct conn *conns[512];
    int conn_count;
    int running;
    struct work *queue_head;
    struct work *queue_tail;
    int queued;
    uint32_t generation; /* of its process */
    uint32_t beat_generation;
    /* Arrivals that were not answered 421. */
    double *arrivals;
    int arrival_count;
    int runs;
    int rejected;
    int misdirected;
    /* While cold it crashes at more than this many requests in a second, and
     * starts again under its id after `restart_s`; 0: it bears every rate. */
    int crash_per_s;
    double restart_s;
    double warmup_s;
    int crashes;   /* of too many requests while cold */
    int cold_peak; /* most requests in WORLD_WINDOW_S while cold */
    double cold_peak_s;
};

/* Fills in a searcher of a service with 4 slots and 20 ms a request. */
void searcher_prepare(struct searcher *searcher, const char *id,
                      const char *service, const char *zone, int high,
                      int low);

/* Starts it, writes its entry and keeps writing it. */
void searcher_start(struct searcher *searcher);
/* Writes its entry now. */
void searcher_beat(struct searcher *searcher);
/* Ends its process: connections are reset, nothing more is written. */
void searcher_crash(struct searcher *searcher);
/* It is cold from now on for that time. */
void searcher_turn_cold(struct searcher *searcher, double for_s);
/* Writes the number of requests and the peak while cold to the record. Returns
 * the peak. */
int searcher_report(const struct searcher *searcher, int limit);
/* Sum of the runs of the request on all searchers. */
int runs_of(const char *id);

/* --- gateways --- */

struct gateway {
    char name[32];
    char zone[32];
    char ip[20];
    char requests[32];
    char ready[32];
    char directory[32];
    char settings[256];
    char log[256];
    pid_t pid; /* 0: not running */
    int index;
    int starts;
};

/* Values for the settings, as in the deploy template. */
struct bounds {
    double grace_s;
    double extra_ratio;
    int extra_count;
    double overshoot;
    int slack;
    int apply_ms;
    int drain_ms;
    int ttl_max_s;
};
extern struct bounds world_bounds;

void gateway_prepare(struct gateway *gateway, int index, const char *zone);
void gateway_start(struct gateway *gateway);
void gateway_signal(struct gateway *gateway, int number);
/* Whether it answers its ready address with 200; waits 0.3 s at most. */
bool gateway_is_ready(const struct gateway *gateway);
/* Runs the world until all are ready; gives up after `limit_s`. */
void gateway_wait_ready(struct gateway *gateways, int count, double limit_s);

/* --- clients --- */

struct client_request {
    char id[32];
    struct gateway *gateway;
    double sent_s;
    double answered_s; /* 0: not answered */
    int status;        /* 0: the connection ended without an answer */
    char stamp[160];
    char answer_id[64];
    size_t body_bytes;
    const char *route;
    void (*on_end)(struct client_request *request, struct message *answer);
    void *ctx;
};

/* Sends a request on a kept or a new connection. Requests are kept for ever.
 */
struct client_request *client_send(struct gateway *gateway, const char *route,
                                   const char *method, const char *host,
                                   const char *target, int deadline_ms,
                                   const char *body, size_t body_bytes,
                                   const char *more_headers);
/* Sends a request each `1 / per_s` seconds until `until_s`, to the gateways in
 * turn. */
void client_flow(struct gateway *gateways, int count, const char *method,
                 double per_s, double until_s);
/* Counts the requests of the flow that ran and ended without an answer or with
 * 502 or 504: accepted work whose outcome nobody learned. */
int client_count_lost(void);
/* Counts the requests of the route sent in that time by status. */
int client_count(const char *route, double from_s, double to_s, int status);
/* Writes a line with the counts of the route by status to the record. */
void client_summary(const char *route, double from_s, double to_s);
extern struct client_request **client_requests;
extern int client_request_count;

#endif
