#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/net.h"
#include "common/opt.h"
#include "common/rc.h"

static char *
opt_env_name(const char *name)
{
    char *upper = g_ascii_strup(name, -1);
    g_strdelimit(upper, "-", '_');
    char *env = g_strconcat("CAROBHATCH_", upper, NULL);
    g_free(upper);
    return env;
}

static int
opt_set_int(const struct opt_spec *spec, const char *text)
{
    char *end = NULL;
    errno = 0;
    int64_t value = g_ascii_strtoll(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0') {
        (void)fprintf(stderr, "usage: --%s: '%s' is not a whole number\n",
                      spec->name, text);
        return RC_USAGE;
    }
    if (value < spec->min || value > spec->max) {
        (void)fprintf(stderr,
                      "usage: --%s: %" PRId64 " is outside %" PRId64
                      "..%" PRId64 "\n",
                      spec->name, value, spec->min, spec->max);
        return RC_USAGE;
    }
    *(int64_t *)spec->target = value;
    return RC_OK;
}

static int
opt_set(const struct opt_spec *spec, const char *text)
{
    struct sockaddr_in address;
    switch (spec->kind) {
    case OPT_INT:
        return opt_set_int(spec, text);
    case OPT_FLAG:
        *(bool *)spec->target =
            strcmp(text, "0") != 0 && strcmp(text, "false") != 0;
        return RC_OK;
    case OPT_ADDRESS:
        if (net_parse(text, &address) != RC_OK) {
            (void)fprintf(stderr, "usage: --%s: '%s' is not IPV4:PORT\n",
                          spec->name, text);
            return RC_USAGE;
        }
        break;
    case OPT_STRING:
        break;
    }
    char **target = spec->target;
    g_free(*target);
    *target = g_strdup(text);
    return RC_OK;
}

static int
opt_read_env(const struct opt_spec *specs, size_t count, bool *seen)
{
    for (size_t i = 0; i < count; i++) {
        char *env = opt_env_name(specs[i].name);
        const char *text = g_getenv(env);
        int rc = RC_OK;
        if (text != NULL) {
            rc = opt_set(&specs[i], text);
            seen[i] = true;
        }
        if (rc != RC_OK) {
            (void)fprintf(stderr, "(from the environment: %s)\n", env);
        }
        g_free(env);
        if (rc != RC_OK) {
            return rc;
        }
    }
    return RC_OK;
}

static int
opt_check_required(const struct opt_spec *specs, size_t count,
                   const bool *seen)
{
    for (size_t i = 0; i < count; i++) {
        if (specs[i].required && !seen[i]) {
            (void)fprintf(stderr, "usage: --%s is required\n", specs[i].name);
            return RC_USAGE;
        }
    }
    return RC_OK;
}

/* What GLib reads of the command line, by the position in the spec table. */
struct opt_command_line {
    char **texts;    /* values of options that take one, NULL: not given */
    gboolean *flags; /* options without a value that were given */
    gboolean wants_version;
};

/* Returns the table of options for GLib; free with g_free. */
static GOptionEntry *
opt_new_entries(const struct opt_spec *specs, size_t count,
                struct opt_command_line *line)
{
    GOptionEntry *entries = g_new0(GOptionEntry, count + 2);
    for (size_t i = 0; i < count; i++) {
        bool is_flag = specs[i].kind == OPT_FLAG;
        entries[i] = (GOptionEntry){
            .long_name = specs[i].name,
            .arg = is_flag ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING,
            .arg_data = is_flag ? (gpointer)&line->flags[i]
                                : (gpointer)&line->texts[i],
            .description = specs[i].help,
            .arg_description = specs[i].arg,
        };
    }
    entries[count] = (GOptionEntry){
        .long_name = "version",
        .arg = G_OPTION_ARG_NONE,
        .arg_data = &line->wants_version,
        .description = "Print the version and exit",
    };
    return entries;
}

static int
opt_parse_entries(int *argc, char ***argv, const GOptionEntry *entries,
                  const char *arguments, const char *summary)
{
    GOptionContext *context = g_option_context_new(arguments);
    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    int rc = RC_OK;
    if (!g_option_context_parse(context, argc, argv, &error)) {
        (void)fprintf(stderr, "usage: %s\n", error->message);
        g_error_free(error);
        rc = RC_USAGE;
    }
    g_option_context_free(context);
    return rc;
}

/* Sets the targets of the options that were given. */
static int
opt_set_given(const struct opt_spec *specs, size_t count,
              const struct opt_command_line *line, bool *seen)
{
    int rc = RC_OK;
    for (size_t i = 0; rc == RC_OK && i < count; i++) {
        if (line->texts[i] != NULL) {
            rc = opt_set(&specs[i], line->texts[i]);
            seen[i] = true;
        }
        if (line->flags[i]) {
            *(bool *)specs[i].target = true;
            seen[i] = true;
        }
    }
    return rc;
}

static int
opt_read_command_line(int *argc, char ***argv, const struct opt_spec *specs,
                      size_t count, const char *arguments, const char *summary,
                      bool *seen)
{
    struct opt_command_line line = {
        .texts = g_new0(char *, count + 1),
        .flags = g_new0(gboolean, count + 1),
    };
    GOptionEntry *entries = opt_new_entries(specs, count, &line);
    int rc = opt_parse_entries(argc, argv, entries, arguments, summary);
    if (rc == RC_OK && line.wants_version) {
        (void)printf("carobhatch %s\n", CH_VERSION);
        exit(0);
    }
    if (rc == RC_OK) {
        rc = opt_set_given(specs, count, &line, seen);
    }
    for (size_t i = 0; i < count; i++) {
        g_free(line.texts[i]);
    }
    g_free(line.texts);
    g_free(line.flags);
    g_free(entries);
    return rc;
}

int
opt_parse(int *argc, char ***argv, const struct opt_spec *specs, size_t count,
          const char *arguments, const char *summary)
{
    bool *seen = g_new0(bool, count + 1);
    int rc = opt_read_env(specs, count, seen);
    if (rc == RC_OK) {
        rc = opt_read_command_line(argc, argv, specs, count, arguments,
                                   summary, seen);
    }
    if (rc == RC_OK && arguments == NULL && *argc > 1) {
        (void)fprintf(stderr, "usage: '%s' is not an option\n", (*argv)[1]);
        rc = RC_USAGE;
    }
    if (rc == RC_OK) {
        rc = opt_check_required(specs, count, seen);
    }
    g_free(seen);
    return rc;
}
