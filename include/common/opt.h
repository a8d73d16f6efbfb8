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

/* Entries of a spec table for options that may be missing. `value` is the name
 * of the value in the help text. */
#define OPT_SPEC_STRING(option, variable, value, text)                        \
    {                                                                         \
        .name = (option), .kind = OPT_STRING, .target = (variable),           \
        .help = (text), .arg = (value)                                        \
    }
#define OPT_SPEC_ADDRESS(option, variable, text)                              \
    {                                                                         \
        .name = (option), .kind = OPT_ADDRESS, .target = (variable),          \
        .help = (text), .arg = "IPV4:PORT"                                    \
    }
#define OPT_SPEC_INT(option, variable, low, high, value, text)                \
    {                                                                         \
        .name = (option), .kind = OPT_INT, .target = (variable),              \
        .help = (text), .arg = (value), .min = (low), .max = (high)           \
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
