#ifndef CH_COMMON_NET_H
#define CH_COMMON_NET_H

#include <netinet/in.h>

/* Reads "IPV4:PORT". Returns RC_OK or RC_INVALID. */
int net_parse(const char *text, struct sockaddr_in *out);

#endif
