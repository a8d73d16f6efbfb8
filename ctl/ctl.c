#include <stdio.h>
#include <uv.h>

#include "common/rc.h"
#include "ctl/ctl.h"

int64_t
ctl_now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

int64_t
ctl_remaining_ms(const struct ctl *ctl, int64_t max_ms)
{
    /* Rounded up: 0 is returned only once the deadline has passed. */
    int64_t remaining_ms = (ctl->deadline_us - ctl_now_us() + 999) / 1000;
    return CLAMP(remaining_ms, 0, max_ms);
}

void
ctl_sleep(const struct ctl *ctl, int64_t duration_ms)
{
    g_usleep((gulong)ctl_remaining_ms(ctl, duration_ms) * 1000);
}

void
ctl_print(const struct ctl *ctl, const char *format, ...)
{
    if (ctl->options.is_json) {
        return;
    }
    va_list args;
    va_start(args, format);
    (void)vprintf(format, args);
    va_end(args);
    (void)putchar('\n');
    (void)fflush(stdout);
}

void
ctl_warn(struct ctl *ctl, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    (void)fprintf(stderr, "warning: %s\n", text);
    json_t *warnings = json_object_get(ctl->result, "warnings");
    if (warnings == NULL) {
        warnings = json_array();
        json_object_set_new(ctl->result, "warnings", warnings);
    }
    json_array_append_new(warnings, json_string(text));
    g_free(text);
}

enum ctl_exit
ctl_fail(struct ctl *ctl, enum ctl_exit code, int rc, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    (void)fprintf(stderr, "%s: %s\n", rc_name(rc), text);
    json_object_set_new(ctl->result, "error", json_string(rc_name(rc)));
    json_object_set_new(ctl->result, "message", json_string(text));
    g_free(text);
    return code;
}
