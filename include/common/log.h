#ifndef CH_COMMON_LOG_H
#define CH_COMMON_LOG_H

/*
 * Logging of one process, to stderr or stdout, through log4c. A line is
 *
 *     TIME LEVEL PROGRAM machine=NAME module=NAME message key=value ...
 *
 * with the wall clock in UTC. The message is a fixed phrase; what varies goes
 * into the key=value pairs after it. The state is global and belongs to one
 * thread.
 */

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
};

/*
 * Starts logging for a program; lines before it are discarded. `level` is
 * "error", "warn", "info" or "debug". Returns RC_OK, RC_USAGE for another
 * level (printed to stderr), or RC_IO.
 */
int log_open(const char *program, const char *machine, const char *level);

/*
 * Sends further lines to standard output, which is made non-blocking. Lines
 * that cannot be written at once are dropped and counted.
 */
void log_to_stdout(void);

void log_close(void);

/* Number of lines that were dropped since the last call. */
unsigned long log_take_dropped(void);

/*
 * As log_info(), rate-limited, for lines that each request may cause: at most
 * LOG_SAMPLES_PER_S lines a second, the rest is dropped and counted.
 */
#define LOG_SAMPLES_PER_S 40
void log_sample(const char *module, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/*
 * As log_sample(), for single steps of a request. These use at most half of
 * the limit, so that the lines about finished requests are not crowded out.
 */
void log_step(const char *module, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void log_write(enum log_level level, const char *module, const char *format,
               ...) __attribute__((format(printf, 3, 4)));

#define log_error(module, ...) log_write(LOG_LEVEL_ERROR, module, __VA_ARGS__)
#define log_warn(module, ...) log_write(LOG_LEVEL_WARN, module, __VA_ARGS__)
#define log_info(module, ...) log_write(LOG_LEVEL_INFO, module, __VA_ARGS__)
#define log_debug(module, ...) log_write(LOG_LEVEL_DEBUG, module, __VA_ARGS__)

#endif
