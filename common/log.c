#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "common/log.h"
#include "common/rc.h"

static log4c_category_t *log_category;
static char *log_prefix;
static int log_fd = STDERR_FILENO;
static unsigned long log_dropped;
static gint64 log_sample_second;
static unsigned log_sample_count;

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
    size_t bytes = strlen(event->evt_rendered_msg);
    if (write(log_fd, event->evt_rendered_msg, bytes) != (ssize_t)bytes) {
        log_dropped += 1;
    }
    return 0;
}

/* Used because log4c's own appenders prefix each line with their name. */
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
    /* Without these log4c looks for a log4crc file and reports on stderr that
     * there is none. */
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
log_to_stdout(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0) {
        log_warn("log",
                 "cannot make standard output non-blocking error=\"%s\"",
                 g_strerror(errno));
    }
    log_fd = STDOUT_FILENO;
}

unsigned long
log_take_dropped(void)
{
    unsigned long dropped = log_dropped;
    log_dropped = 0;
    return dropped;
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

static void
log_write_args(enum log_level level, const char *module, const char *format,
               va_list args)
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
    vsnprintf(text, sizeof(text), format, args);
    log4c_category_log(log_category, priority, "%s module=%s %s", log_prefix,
                       module, text);
}

void
log_write(enum log_level level, const char *module, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    log_write_args(level, module, format, args);
    va_end(args);
}

/* Returns whether another sampled line may be written in this second. If there
 * were `limit` of them already, counts the line as dropped. */
static bool
log_allow_sample(unsigned limit)
{
    gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;
    if (second != log_sample_second) {
        log_sample_second = second;
        log_sample_count = 0;
    }
    if (log_sample_count >= limit) {
        log_dropped += 1;
        return false;
    }
    log_sample_count += 1;
    return true;
}

void
log_sample(const char *module, const char *format, ...)
{
    if (!log_allow_sample(LOG_SAMPLES_PER_S)) {
        return;
    }
    va_list args;
    va_start(args, format);
    log_write_args(LOG_LEVEL_INFO, module, format, args);
    va_end(args);
}

void
log_step(const char *module, const char *format, ...)
{
    if (!log_allow_sample(LOG_SAMPLES_PER_S / 2)) {
        return;
    }
    va_list args;
    va_start(args, format);
    log_write_args(LOG_LEVEL_INFO, module, format, args);
    va_end(args);
}
