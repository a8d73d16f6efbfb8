#ifndef CH_STANDIN_REPLY_H
#define CH_STANDIN_REPLY_H

#include <jansson.h>

#include "common/http_server.h"

/* Responses of the stand-in store (common/http_server.h). */

/* Responds with a JSON text. */
void reply_text(struct http_request *request, int status, const char *text);

/* Responds with `body` and releases it. */
void reply_json(struct http_request *request, int status, json_t *body);

/* Responds with the HTTP status and the name of a result code (rc.h). */
void reply_error(struct http_request *request, int rc);

/* Never responds; the request is released when its connection closes. */
void reply_withhold(struct http_request *request);

#endif
