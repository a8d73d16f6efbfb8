#ifndef CH_COMMON_OPT_H
#define CH_COMMON_OPT_H

#include <stddef.h>
#include <stdint.h>

/*
 * Options of a program, read from environment variables and the command line
 * into the program's own variables.
 */

enum opt_kind {
    OPT_STRING,  /* target: char *, owned by the program */
    OPT_INT,     /* target: int64_t, checked against min and max */
    OPT_FLAG,    /* target: bool; takes no value on the command line */
    OPT_ADDRESS, /* target: char *, must be IPV4:PORT */
};

/*
 * One option. Its environment variable is CAROBHATCH_ and the name in upper
 * case with '_' for '-'; the command line takes precedence.
 */
struct opt_spec {
    const char *name;
    enum opt_kind kind;
    void *target; /* keeps its value when the option is not given */
    const char *help;
    const char *arg; /* name of the value in the help text */
    int64_t min;
    int64_t max;
    int required;
};

/* The options that all programs on a machine share; entries of a spec table.
 */
#define OPT_MACHINE_SPECS(options)                                            \
    {.name = "machine",                                                       \
     .kind = OPT_STRING,                                                      \
     .target = &(options)->machine,                                           \
     .help = "Name of this machine",                                          \
     .arg = "NAME",                                                           \
     .required = 1},                                                          \
        {.name = "zone",                                                      \
         .kind = OPT_STRING,                                                  \
         .target = &(options)->zone,                                          \
         .help = "Zone of this machine",                                      \
         .arg = "NAME",                                                       \
         .required = 1},                                                      \
    {                                                                         \
        .name = "log-level", .kind = OPT_STRING,                              \
        .target = &(options)->log_level,                                      \
        .help = "error, warn, info or debug (info)", .arg = "LEVEL"           \
    }

/*
 * Reads the environment and the command line into the targets. `*argv` keeps
 * the program's name and the remaining arguments. These are an error if
 * `arguments`, their description in the help text, is NULL: a mistyped option
 * must not be ignored. `summary` follows the usage line of the help text.
 * Returns RC_OK, or RC_USAGE after printing what is wrong to stderr. Exits
 * with 0 after --help and --version.
 */
int opt_parse(int *argc, char ***argv, const struct opt_spec *specs,
              size_t count, const char *arguments, const char *summary);

#endif
