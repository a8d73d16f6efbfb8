#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "common/json_salvage.h"

/* Longer integers may not fit into 64 bits. */
#define JSON_SALVAGE_INTEGER_MAX_BYTES 18

/* A document that is read, and its copy. */
struct salvage {
    const char *at;
    const char *end;
    GString *out;
};

static bool
salvage_is_number_char(char c)
{
    return g_ascii_isdigit(c) || c == '-' || c == '+' || c == '.' ||
           c == 'e' || c == 'E';
}

/* Copies a number, or null for one that may be too large to decode. */
static void
salvage_number(struct salvage *salvage)
{
    const char *start = salvage->at;
    bool is_real = false;
    while (salvage->at < salvage->end &&
           salvage_is_number_char(*salvage->at)) {
        is_real = is_real || strchr(".eE", *salvage->at) != NULL;
        salvage->at += 1;
    }
    char *number = g_strndup(start, (gsize)(salvage->at - start));
    bool fits = is_real ? isfinite(g_ascii_strtod(number, NULL)) != 0
                        : strlen(number) <= JSON_SALVAGE_INTEGER_MAX_BYTES;
    g_string_append(salvage->out, fits ? number : "null");
    g_free(number);
}

/* Copies an escape sequence; '?' for one that may not be valid: a code unit
 * that is zero or a surrogate, or an unknown character. */
static void
salvage_escape(struct salvage *salvage)
{
    size_t left = (size_t)(salvage->end - salvage->at);
    if (left >= 2 && strchr("\"\\/bfnrt", salvage->at[1]) != NULL &&
        salvage->at[1] != '\0') {
        g_string_append_len(salvage->out, salvage->at, 2);
        salvage->at += 2;
        return;
    }
    bool is_unicode = left >= 6 && salvage->at[1] == 'u';
    for (int i = 2; is_unicode && i < 6; i++) {
        is_unicode = g_ascii_isxdigit(salvage->at[i]);
    }
    if (!is_unicode) {
        g_string_append_c(salvage->out, '?');
        salvage->at += left >= 2 ? 2 : 1;
        return;
    }
    bool is_zero = memcmp(salvage->at + 2, "0000", 4) == 0;
    bool is_surrogate = g_ascii_tolower(salvage->at[2]) == 'd' &&
                        g_ascii_xdigit_value(salvage->at[3]) >= 8;
    if (is_zero || is_surrogate) {
        g_string_append_c(salvage->out, '?');
    }
    else {
        g_string_append_len(salvage->out, salvage->at, 6);
    }
    salvage->at += 6;
}

/* Copies a string, from its opening quotation mark on. */
static void
salvage_string(struct salvage *salvage)
{
    g_string_append_c(salvage->out, '"');
    salvage->at += 1;
    while (salvage->at < salvage->end && *salvage->at != '"') {
        gssize left = salvage->end - salvage->at;
        gunichar character = g_utf8_get_char_validated(salvage->at, left);
        bool is_valid = character != (gunichar)-1 &&
                        character != (gunichar)-2 && character >= ' ';
        if (*salvage->at == '\\') {
            salvage_escape(salvage);
        }
        else if (!is_valid) {
            g_string_append_c(salvage->out, '?');
            salvage->at += 1;
        }
        else {
            gint bytes = g_unichar_to_utf8(character, NULL);
            g_string_append_len(salvage->out, salvage->at, bytes);
            salvage->at += bytes;
        }
    }
    if (salvage->at < salvage->end) {
        g_string_append_c(salvage->out, '"');
        salvage->at += 1;
    }
}

/* Skips an array or object, from its opening bracket on. */
static void
salvage_skip(struct salvage *salvage)
{
    uint32_t depth = 0;
    gsize kept_bytes = salvage->out->len;
    while (salvage->at < salvage->end) {
        char c = *salvage->at;
        if (c == '"') {
            salvage_string(salvage);
            continue;
        }
        salvage->at += 1;
        depth += c == '[' || c == '{' ? 1 : 0;
        if (c == ']' || c == '}') {
            depth -= 1;
            if (depth == 0) {
                break;
            }
        }
    }
    g_string_truncate(salvage->out, kept_bytes);
}

static void
salvage_copy(struct salvage *salvage)
{
    uint32_t depth = 0;
    while (salvage->at < salvage->end) {
        char c = *salvage->at;
        bool is_open = c == '[' || c == '{';
        if (c == '"') {
            salvage_string(salvage);
        }
        else if (g_ascii_isdigit(c) || c == '-') {
            salvage_number(salvage);
        }
        else if (is_open && depth == JSON_SALVAGE_DEPTH_MAX) {
            salvage_skip(salvage);
            g_string_append(salvage->out, "null");
        }
        else {
            depth += is_open ? 1 : 0;
            depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
            g_string_append_c(salvage->out, c);
            salvage->at += 1;
        }
    }
}

json_t *
json_salvage(const char *text, size_t bytes)
{
    struct salvage salvage = {
        .at = text,
        .end = text + bytes,
        .out = g_string_sized_new(bytes),
    };
    salvage_copy(&salvage);
    json_t *root = json_loadb(salvage.out->str, salvage.out->len, 0, NULL);
    g_string_free(salvage.out, TRUE);
    return root;
}
