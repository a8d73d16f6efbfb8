#ifndef CH_STANDIN_REPLY_H
#define CH_STANDIN_REPLY_H

#include <jansson.h>

#include "common/http_server.h"

/* Answers with a JSON text. */
void rpl_text(struct hsv_request *request, int status, const char *text);

/* Answers with `body` and releases it. */
void rpl_json(struct hsv_request *request, int status, json_t *body);

/* Answers with the status and name of a result code. */
void rpl_error(struct hsv_request *request, int rc);

/*
 * Leaves the request without an answer; it is given up when its connection
 * ends.
 */
void rpl_never(struct hsv_request *request);

#endif
