#ifndef CH_RELAY_OPERATOR_H
#define CH_RELAY_OPERATOR_H

#include "relay/server.h"

/* Serves /healthz, /metrics and /status. Returns RC_OK or RC_IO. */
int opr_open(struct srv *server, const char *address);

#endif
