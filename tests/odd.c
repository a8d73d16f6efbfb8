#include <stdbool.h>

#include "odd.h"

#define ODD_PIECES_MAX 12

static const char *const odd_pieces[] = {
    "{",
    "}",
    "[",
    "]",
    "\"",
    "\\",
    ",",
    ":",
    " ",
    "1",
    "null",
    "Infinity",
    "-1e999",
    "\xff",
    "\x82\xa7service\xaa",
    "\"a\"",
    "\"a\":",
    "{\"service\":\"s\",\"addr",
    "{\"meta\":{\"name\":\"",
    "\\u0000",
};

static const char *const odd_values[] = {
    "null", "true", "-1", "1.5", "1e999", "Infinity", "99999999999999999999",
    "\"\"", "[]",   "{}",
};

/* Addresses to which a system refuses to connect at once, or where nobody
 * listens. */
static const char *const odd_addresses[] = {
    "127.255.255.255:8080",
    "255.255.255.255:80",
    "127.0.0.1:1",
    "0.0.0.0:1",
};

struct odd_field {
    const char *name;
    const char *value;
};

enum odd_way {
    ODD_MISSING,
    ODD_DOUBLED,
    ODD_RETYPED,
    ODD_CUT,
    ODD_ADDRESS,
    ODD_PIECES,
    ODD_WAY_COUNT,
};

void
odd_append_pieces(GString *out, odd_draw_cb draw, void *ctx)
{
    for (uint32_t left = draw(ODD_PIECES_MAX, ctx); left > 0; left--) {
        g_string_append(out, odd_pieces[draw(G_N_ELEMENTS(odd_pieces), ctx)]);
    }
}

static void
odd_append_field(GString *out, const char *name, const char *value)
{
    g_string_append_printf(out, "%s\"%s\":%s", out->len > 1 ? "," : "", name,
                           value);
}

void
odd_append_entry(GString *out, const char *service, const char *address,
                 odd_draw_cb draw, void *ctx)
{
    enum odd_way way = (enum odd_way)draw(ODD_WAY_COUNT, ctx);
    if (way == ODD_PIECES) {
        odd_append_pieces(out, draw, ctx);
        return;
    }
    if (way == ODD_ADDRESS) {
        address = odd_addresses[draw(G_N_ELEMENTS(odd_addresses), ctx)];
    }
    char *quoted_service = g_strdup_printf("\"%s\"", service);
    char *quoted_address = g_strdup_printf("\"%s\"", address);
    const struct odd_field fields[] = {
        {"service", quoted_service},
        {"address", quoted_address},
        {"zone", "\"dc0\""},
        {"version", "\"v1\""},
        {"slots", "4"},
        {"state", "\"ready\""},
        {"warmup_left_ms", "0"},
        {"seq", "1"},
    };
    uint32_t odd = draw(G_N_ELEMENTS(fields), ctx);
    GString *entry = g_string_new("{");
    for (uint32_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        bool is_odd = i == odd;
        const char *value = fields[i].value;
        if (is_odd && way == ODD_MISSING) {
            continue;
        }
        if (is_odd && way == ODD_RETYPED) {
            value = odd_values[draw(G_N_ELEMENTS(odd_values), ctx)];
        }
        odd_append_field(entry, fields[i].name, value);
        if (is_odd && way == ODD_DOUBLED) {
            odd_append_field(entry, fields[i].name, value);
        }
    }
    g_string_append_c(entry, '}');
    if (way == ODD_CUT) {
        g_string_truncate(entry, draw((uint32_t)entry->len, ctx));
    }
    g_string_append_len(out, entry->str, (gssize)entry->len);
    g_string_free(entry, TRUE);
    g_free(quoted_service);
    g_free(quoted_address);
}
