#ifndef CH_RELAY_OPTIONS_H
#define CH_RELAY_OPTIONS_H

/* Settings of carobhatch-relay. */
struct relay_options {
    char *machine;
    char *zone;
    char *listen;      /* ZeroMQ, for entries */
    char *http_listen; /* for operators */
    char *agent;       /* ZeroMQ of the local agent */
    char *log_level;
};

/* Reads flags and environment. Returns RC_OK or RC_USAGE. */
int relay_options_parse(struct relay_options *options, int argc, char **argv);

void relay_options_clear(struct relay_options *options);

#endif
