#include <stdarg.h>

#include "common/config_checker.h"
#include "common/rc.h"

int
config_checker_fail(struct config_checker *checker, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    checker->error->text = g_strdup_vprintf(format, args);
    va_end(args);
    checker->error->path = g_strdup(checker->path->str);
    return RC_INVALID;
}

gsize
config_checker_push_key(struct config_checker *checker, const char *key)
{
    gsize saved_len = checker->path->len;
    if (saved_len > 0) {
        g_string_append_c(checker->path, '.');
    }
    g_string_append(checker->path, key);
    return saved_len;
}

gsize
config_checker_push_index(struct config_checker *checker, size_t i)
{
    gsize saved_len = checker->path->len;
    g_string_append_printf(checker->path, "[%zu]", i);
    return saved_len;
}

void
config_checker_pop(struct config_checker *checker, gsize saved_len)
{
    g_string_truncate(checker->path, saved_len);
}
