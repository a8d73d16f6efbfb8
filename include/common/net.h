#ifndef CH_COMMON_NET_H
#define CH_COMMON_NET_H

#include <netinet/in.h>
#include <uv.h>

/* Reads "IPV4:PORT". Returns RC_OK or RC_INVALID. */
int net_parse(const char *text, struct sockaddr_in *out);

/*
 * Lets the kernel end a connection whose peer no longer answers: after about
 * 3 s, also while nothing is sent. Logs when it cannot.
 */
void net_detect_silence(const uv_handle_t *tcp);

#endif
