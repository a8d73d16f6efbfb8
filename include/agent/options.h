#ifndef CH_AGENT_OPTIONS_H
#define CH_AGENT_OPTIONS_H

#include <stdint.h>

/* Settings of carobhatch-agent. */
struct agent_options {
    char *machine;
    char *zone;
    char *cell;
    char *listen;
    char *http_listen;
    char *store;
    char *entry_address;
    char *peer_address;
    char *relay_address;
    char *peers; /* comma-separated */
    int64_t drain_ms;
    int64_t drop_permille; /* of messages from other agents; for tests */
    char *log_level;
};

/* Reads flags and environment. Returns RC_OK or RC_USAGE. */
int agent_options_parse(struct agent_options *options, int argc, char **argv);

void agent_options_clear(struct agent_options *options);

#endif
