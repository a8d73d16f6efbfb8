#ifndef CH_AGENT_OPTIONS_H
#define CH_AGENT_OPTIONS_H

/* Settings of carobhatch-agent. */
struct agent_options {
    char *machine;
    char *zone;
    char *log_level;
};

/* Reads flags and environment. Returns RC_OK or RC_USAGE. */
int agent_options_parse(struct agent_options *options, int argc, char **argv);

#endif
