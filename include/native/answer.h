#ifndef CH_NATIVE_ANSWER_H
#define CH_NATIVE_ANSWER_H

#include <jansson.h>

#include "common/counter.h"
#include "common/http_server.h"
#include "common/rc.h"

/* Responses of the native HTTP interface with JSON bodies. Each call responds
 * to its request, which must not be used afterwards. */

/* Responds with a JSON value and releases the value. */
void answer_json(struct http_request *request, int status, json_t *value);

/*
 * Responds with an error: `{"code", "name", "run", "message", "field"}`.
 * `run` says whether the order of the request may have been executed. With
 * `message` NULL the message is rc_text(rc); with `field` NULL there is no
 * such member. Counts the error as refused_total.
 */
void answer_error(struct http_request *request, struct counter_set *counters,
                  int rc, enum rc_executed run, const char *field,
                  const char *message);

/* The same with rc_executed(rc) as `run`, no field and the message
 * rc_text(rc). `retry_after_us` is sent in the Retry-After header, without one
 * if it is 0. */
void answer_refusal(struct http_request *request, struct counter_set *counters,
                    int rc, int64_t retry_after_us);

/* Ends the request of a caller that has disconnected. */
void answer_disconnected(struct http_request *request);

/* Compact JSON text of the object's members without the braces; releases the
 * object. Free the text with g_free. */
char *answer_json_members(json_t *object);

#endif
