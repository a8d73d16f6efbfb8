#ifndef CH_COMMON_NET_H
#define CH_COMMON_NET_H

#include <netinet/in.h>
#include <uv.h>

/* Parses "IPV4:PORT". Returns RC_OK, or RC_INVALID, also for port 0. */
int net_parse(const char *text, struct sockaddr_in *out);

/*
 * Enables TCP keep-alive and a limit on unacknowledged data, so that the
 * kernel closes a connection about 3 s after its peer stops answering, also
 * while the connection is idle. Logs a warning when an option cannot be set.
 */
void net_enable_keepalive(const uv_handle_t *tcp);

#endif
