#ifndef CH_ENTRY_OPTIONS_H
#define CH_ENTRY_OPTIONS_H

#include <stdint.h>

/* Settings of carobhatch-entry. */
struct entry_options {
    char *machine;
    char *zone;
    char *http_listen; /* callers */
    char *peer_listen; /* ZeroMQ, other entries */
    char *agent;       /* ZeroMQ address of the local agent */
    char *log_level;
    int64_t drain_ms;
};

/* Reads flags and environment. Returns RC_OK or RC_USAGE. */
int entry_options_parse(struct entry_options *options, int argc, char **argv);

void entry_options_clear(struct entry_options *options);

#endif
