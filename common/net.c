#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "common/net.h"
#include "common/rc.h"

int
net_parse(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL || colon == text) {
        return RC_INVALID;
    }
    char *end = NULL;
    guint64 port = g_ascii_strtoull(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || port == 0 || port > 65535) {
        return RC_INVALID;
    }
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    char *host = g_strndup(text, (gsize)(colon - text));
    int ok = inet_pton(AF_INET, host, &out->sin_addr);
    g_free(host);
    return ok == 1 ? RC_OK : RC_INVALID;
}
