#ifndef CH_GATEWAY_SETTINGS_H
#define CH_GATEWAY_SETTINGS_H

#include <stdint.h>

/* Settings of one process, read from a file of groups and keys. */

struct settings {
    char *vm; /* name of this VM */
    char *dc;
    char *ip;
    char *request_listen;
    char *ready_listen;
    char *directory_listen;
    char *store;
    int64_t capacity; /* thousandths of a core */
    int64_t files;    /* descriptors that the process may have */
    int64_t peer_port;
    int64_t metrics_port; /* 0: none */
    int64_t grace_ms;     /* from SIGTERM to SIGKILL */
    int64_t extra_permille;
    int64_t extra_count;
    int64_t warmup_overshoot_permille;
    int64_t warmup_slack;
    int64_t config_apply_ms;
    int64_t address_ttl_max_ms;
};

/*
 * Reads the file. Returns RC_OK, or RC_INVALID after logging one line for each
 * value that is missing or wrong; `out` is then empty.
 */
int settings_read(const char *path, struct settings *out);

void settings_clear(struct settings *settings);

#endif
