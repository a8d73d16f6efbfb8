#include "common/http_field.h"

bool
http_field_is_hop_by_hop(const struct http_field *field)
{
    static const char *const names[] = {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "proxy-authorization",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (http_field_is(field, names[i])) {
            return true;
        }
    }
    return false;
}

bool
http_field_is_token(const char *at, size_t bytes)
{
    static const char punctuation[] = "!#$%&'*+-.^_`|~";
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isalnum(at[i]) &&
            (at[i] == '\0' || strchr(punctuation, at[i]) == NULL)) {
            return false;
        }
    }
    return true;
}

static bool
http_field_is_space(char c)
{
    return c == ' ' || c == '\t';
}

struct http_field
http_field_trim(const struct http_field *field)
{
    struct http_field out = *field;
    while (out.value_bytes > 0 && http_field_is_space(out.value[0])) {
        out.value += 1;
        out.value_bytes -= 1;
    }
    while (out.value_bytes > 0 &&
           http_field_is_space(out.value[out.value_bytes - 1])) {
        out.value_bytes -= 1;
    }
    return out;
}

bool
http_field_read_decimal(const struct http_field *untrimmed, int64_t scale,
                        int64_t max, int64_t *out)
{
    struct http_field trimmed = http_field_trim(untrimmed);
    const struct http_field *field = &trimmed;
    double value = 0;
    double digit_unit = 1;
    bool is_fraction = false;
    size_t digits = 0;
    for (size_t i = 0; i < field->value_bytes; i++) {
        char c = field->value[i];
        if (c == '.' && !is_fraction && digits > 0) {
            is_fraction = true;
            digits = 0;
            continue;
        }
        if (!g_ascii_isdigit(c)) {
            return false;
        }
        digits += 1;
        digit_unit = is_fraction ? digit_unit / 10 : 1;
        value = is_fraction ? value + (c - '0') * digit_unit
                            : value * 10 + (c - '0');
    }
    double scaled = value * (double)scale;
    /* Long values overflow to infinity, which counts as the maximum. */
    *out = scaled < (double)max ? (int64_t)(scaled + 0.5) : max;
    return digits > 0;
}
