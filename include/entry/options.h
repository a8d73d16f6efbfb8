#ifndef CH_ENTRY_OPTIONS_H
#define CH_ENTRY_OPTIONS_H

/* Settings of carobhatch-entry. */
struct entry_options {
    char *machine;
    char *zone;
    char *log_level;
};

/* Reads flags and environment. Returns RC_OK or RC_USAGE. */
int entry_options_parse(struct entry_options *options, int argc, char **argv);

#endif
