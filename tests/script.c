#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "script.h"

struct scr {
    const char *path;
    const struct scr_command *commands;
    size_t command_count;
    void *ctx;
    char *line; /* the command that ran last */
    int line_number;
    GString *expected;
    GString *actual;
    int run_count;
    int failed_count;
    int unknown_count;
};

static void
scr_check(struct scr *scr)
{
    if (scr->line == NULL) {
        return;
    }
    if (strcmp(scr->expected->str, scr->actual->str) != 0) {
        scr->failed_count += 1;
        (void)fprintf(stderr, "%s:%d: %s\n--- expected\n%s--- actual\n%s",
                      scr->path, scr->line_number, scr->line,
                      scr->expected->str, scr->actual->str);
    }
    g_string_truncate(scr->expected, 0);
    g_string_truncate(scr->actual, 0);
}

static void
scr_run_command(struct scr *scr, char *line, int line_number)
{
    scr_check(scr);
    g_free(scr->line);
    scr->line = g_strdup(line);
    scr->line_number = line_number;
    scr->run_count += 1;
    int argc = 0;
    char **argv = NULL;
    if (!g_shell_parse_argv(line + 1, &argc, &argv, NULL)) {
        scr->unknown_count += 1;
        return;
    }
    const struct scr_command *found = NULL;
    for (size_t i = 0; i < scr->command_count; i++) {
        if (strcmp(scr->commands[i].name, argv[0]) == 0) {
            found = &scr->commands[i];
        }
    }
    if (found == NULL) {
        (void)fprintf(stderr, "%s:%d: unknown command: %s\n", scr->path,
                      line_number, line);
        scr->unknown_count += 1;
    }
    else {
        found->run(scr->ctx, argc, argv, scr->actual);
    }
    g_strfreev(argv);
    if (scr->actual->len > 0 &&
        scr->actual->str[scr->actual->len - 1] != '\n') {
        g_string_append_c(scr->actual, '\n');
    }
}

int
scr_run(const char *path, const struct scr_command *commands,
        size_t command_count, void *ctx)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        (void)fprintf(stderr, "%s: cannot be read\n", path);
        return -1;
    }
    struct scr scr = {
        .path = path,
        .commands = commands,
        .command_count = command_count,
        .ctx = ctx,
        .expected = g_string_new(NULL),
        .actual = g_string_new(NULL),
    };
    char **lines = g_strsplit(text, "\n", -1);
    for (int i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] == '>') {
            scr_run_command(&scr, lines[i], i + 1);
        }
        else if (lines[i][0] != '#' && lines[i][0] != '\0') {
            g_string_append_printf(scr.expected, "%s\n", lines[i]);
        }
    }
    scr_check(&scr);
    g_strfreev(lines);
    g_free(text);
    g_free(scr.line);
    g_string_free(scr.expected, TRUE);
    g_string_free(scr.actual, TRUE);
    if (scr.unknown_count > 0 || scr.run_count == 0) {
        return -1;
    }
    return scr.failed_count;
}

gint64
scr_number(int argc, char **argv, int i)
{
    if (i >= argc) {
        fail_msg("argument %d is missing", i);
    }
    char *end = NULL;
    gint64 value = g_ascii_strtoll(argv[i], &end, 10);
    if (*end != '\0' || end == argv[i]) {
        fail_msg("'%s' is not a number", argv[i]);
    }
    return value;
}
