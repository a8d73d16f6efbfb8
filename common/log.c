#include <glib.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#include "common/log.h"
#include "common/rc.h"

static log4c_category_t *log_category;
static char *log_prefix;

static const char *
log_layout_format(const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
    static char line[2048];
    struct tm utc;
    time_t seconds = event->evt_timestamp.tv_sec;
    char stamp[32];
    gmtime_r(&seconds, &utc);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(line, sizeof(line), "%s.%03dZ %s %s\n", stamp,
             (int)(event->evt_timestamp.tv_usec / 1000),
             log4c_priority_to_string(event->evt_priority), event->evt_msg);
    return line;
}

static const log4c_layout_type_t log_layout_type = {
    .name = "carobhatch",
    .format = log_layout_format,
};

static int
log_appender_append(log4c_appender_t *appender,
                    const log4c_logging_event_t *event)
{
    return fputs(event->evt_rendered_msg, stderr);
}

/* log4c's own appenders put the appender's name before each line. */
static const log4c_appender_type_t log_appender_type = {
    .name = "carobhatch",
    .append = log_appender_append,
};

static int
log_priority_parse(const char *level)
{
    static const struct {
        const char *name;
        int priority;
    } levels[] = {
        {"error", LOG4C_PRIORITY_ERROR},
        {"warn", LOG4C_PRIORITY_WARN},
        {"info", LOG4C_PRIORITY_INFO},
        {"debug", LOG4C_PRIORITY_DEBUG},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            return levels[i].priority;
        }
    }
    return LOG4C_PRIORITY_UNKNOWN;
}

int
log_open(const char *program, const char *machine, const char *level)
{
    int priority = log_priority_parse(level);
    if (priority == LOG4C_PRIORITY_UNKNOWN) {
        (void)fprintf(stderr,
                      "usage: --log-level: '%s' is not error, warn, info "
                      "or debug\n",
                      level);
        return RC_USAGE;
    }
    /* log4c complains on stderr when it finds no log4crc file. */
    g_setenv("SD_ERROR", "/dev/null", FALSE);
    g_setenv("LOG4C_RCPATH", "/nonexistent", FALSE);
    if (log4c_init() != 0) {
        return RC_IO;
    }
    log4c_layout_type_set(&log_layout_type);
    log4c_layout_t *layout = log4c_layout_get("carobhatch");
    log4c_layout_set_type(layout, &log_layout_type);
    log4c_appender_type_set(&log_appender_type);
    log4c_appender_t *appender = log4c_appender_get("carobhatch");
    log4c_appender_set_type(appender, &log_appender_type);
    log4c_appender_set_layout(appender, layout);
    log_category = log4c_category_get("carobhatch");
    log4c_category_set_appender(log_category, appender);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, priority);
    g_free(log_prefix);
    log_prefix = g_strdup_printf("%s machine=%s", program, machine);
    return RC_OK;
}

void
log_close(void)
{
    if (log_category != NULL) {
        log4c_fini();
        log_category = NULL;
    }
    g_free(log_prefix);
    log_prefix = NULL;
}

void
log_write(enum log_level level, const char *module, const char *format, ...)
{
    static const int priorities[] = {
        [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
        [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
        [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
        [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
    };
    int priority = priorities[level];
    if (log_category == NULL ||
        !log4c_category_is_priority_enabled(log_category, priority)) {
        return;
    }
    char text[1536];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    log4c_category_log(log_category, priority, "%s module=%s %s", log_prefix,
                       module, text);
}
