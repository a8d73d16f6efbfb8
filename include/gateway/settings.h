#ifndef CH_GATEWAY_SETTINGS_H
#define CH_GATEWAY_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

/* Settings of one process and the parser of the settings file, which has the
 * GKeyFile format. The process (struct app) owns the settings. */

struct settings {
    char *vm;               /* name of this VM */
    char *dc;               /* its data centre */
    char *ip;               /* on which it listens for VMs and metrics */
    char *request_listen;   /* IPV4:PORT, as the other addresses */
    char *ready_listen;     /* readiness checks */
    char *directory_listen; /* address lists for callers */
    char *store;            /* address of the store */
    int64_t capacity;       /* thousandths of a core */
    int64_t files;          /* file descriptors that the process may have */
    int64_t memory_mb;      /* MiB of memory that the process may use */
    int64_t peer_port;      /* UDP and TCP */
    int64_t metrics_port;   /* 0: none */
    int64_t grace_ms;       /* from SIGTERM to SIGKILL */
    /* Budget of hedges and retries of all VMs: a share of the requests, and a
     * number of further ones. */
    int64_t extra_permille;
    int64_t extra_count;
    /* A cold backend server may get its rate times the ratio plus the slack,
     * per second, from all VMs together. */
    int64_t warmup_overshoot_permille;
    int64_t warmup_slack;
    /* For how long after its notice a leaving backend server goes on serving.
     */
    int64_t drain_ms;
    int64_t config_apply_ms;    /* until a configuration must be in force */
    int64_t address_ttl_max_ms; /* for which callers may cache addresses */
};

/*
 * Reads the file. Returns RC_OK, or RC_INVALID with a log line for each value
 * that is missing or invalid; `out` is then empty.
 */
int settings_read(const char *path, struct settings *out);

/*
 * Takes over the values in `read` that can change while the process runs.
 * Returns how many others differ, with a log line for each: they take effect
 * at the next start.
 */
size_t settings_update(struct settings *settings, struct settings *read);

void settings_clear(struct settings *settings);

#endif
