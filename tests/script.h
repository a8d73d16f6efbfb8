#ifndef CH_TESTS_SCRIPT_H
#define CH_TESTS_SCRIPT_H

#include <glib.h>
#include <stddef.h>

/*
 * Scripted runs with expected output. A script holds
 *
 *     # a comment
 *     > command arg arg
 *     expected output of the command, any number of lines
 *
 * Blank lines are passed over.
 */

/* Runs one command and appends what it prints to `out`. */
typedef void (*script_run_cb)(void *ctx, int argc, char **argv, GString *out);

struct script_command {
    const char *name;
    script_run_cb run;
};

/*
 * Runs the script and compares. Returns the number of commands whose output
 * differs (printed to stderr with the line), or -1 if the file has no command
 * or names one that is not in the table.
 */
int script_run(const char *path, const struct script_command *commands,
               size_t command_count, void *ctx);

/* argv[i] as a number; fails the test when it is missing or malformed. */
gint64 script_number(int argc, char **argv, int i);

#endif
