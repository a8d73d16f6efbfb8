#ifndef CH_COMMON_LOG_H
#define CH_COMMON_LOG_H

/*
 * Log lines go to stderr, or stdout on demand, through log4c as
 * `time level category message key=value ...`. The message is a fixed phrase;
 * what varies goes into key=value pairs after it.
 */

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
};

/*
 * Starts logging for a program. `level` is "error", "warn", "info" or
 * "debug". Returns RC_OK, RC_USAGE for another level, or RC_IO.
 */
int log_open(const char *program, const char *machine, const char *level);

/*
 * Sends lines to standard output from now on, without ever waiting for it:
 * lines that it does not take are dropped and counted.
 */
void log_to_stdout(void);

void log_close(void);

/* Lines that were dropped since the last call. */
unsigned long log_take_dropped(void);

/*
 * As log_info() for lines that each request may cause: at most
 * LOG_SAMPLES_PER_S a second, the rest is dropped and counted.
 */
#define LOG_SAMPLES_PER_S 40
void log_sample(const char *module, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* As log_sample(), for steps of a request: these leave half of the lines for
 * its end. */
void log_step(const char *module, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void log_write(enum log_level level, const char *module, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

#define log_error(module, ...) log_write(LOG_LEVEL_ERROR, module, __VA_ARGS__)
#define log_warn(module, ...) log_write(LOG_LEVEL_WARN, module, __VA_ARGS__)
#define log_info(module, ...) log_write(LOG_LEVEL_INFO, module, __VA_ARGS__)
#define log_debug(module, ...) log_write(LOG_LEVEL_DEBUG, module, __VA_ARGS__)

#endif
