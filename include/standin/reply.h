#ifndef CH_STANDIN_REPLY_H
#define CH_STANDIN_REPLY_H

#include <jansson.h>

#include "common/http_server.h"

/* Answers with a JSON text. */
void reply_text(struct http_request *request, int status, const char *text);

/* Answers with `body` and releases it. */
void reply_json(struct http_request *request, int status, json_t *body);

/* Answers with the status and name of a result code. */
void reply_error(struct http_request *request, int rc);

/*
 * Leaves the request without an answer; it is given up when its connection
 * ends.
 */
void reply_never(struct http_request *request);

#endif
