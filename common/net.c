#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/net.h"
#include "common/rc.h"

/*
 * An unresponsive peer is detected after NET_KEEPALIVE_IDLE_S +
 * NET_KEEPALIVE_PROBES * NET_KEEPALIVE_INTERVAL_S while the connection is
 * idle, and after NET_USER_TIMEOUT_MS while sent data is not acknowledged.
 */
#define NET_KEEPALIVE_IDLE_S 1
#define NET_KEEPALIVE_INTERVAL_S 1
#define NET_KEEPALIVE_PROBES 2
#define NET_USER_TIMEOUT_MS 3000

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

void
net_enable_keepalive(const uv_handle_t *tcp)
{
    static const struct {
        int level;
        int name;
        int value;
    } options[] = {
        {SOL_SOCKET, SO_KEEPALIVE, 1},
        {IPPROTO_TCP, TCP_KEEPIDLE, NET_KEEPALIVE_IDLE_S},
        {IPPROTO_TCP, TCP_KEEPINTVL, NET_KEEPALIVE_INTERVAL_S},
        {IPPROTO_TCP, TCP_KEEPCNT, NET_KEEPALIVE_PROBES},
        {IPPROTO_TCP, TCP_USER_TIMEOUT, NET_USER_TIMEOUT_MS},
    };
    uv_os_fd_t fd = -1;
    if (uv_fileno(tcp, &fd) != 0) {
        log_warn("net", "socket has no descriptor; keep-alive is not enabled");
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
        if (setsockopt(fd, options[i].level, options[i].name,
                       &options[i].value, sizeof(options[i].value)) != 0) {
            log_warn("net", "cannot set keep-alive option=%d error=\"%s\"",
                     options[i].name, g_strerror(errno));
            return;
        }
    }
}
