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
