#ifndef CH_NATIVE_ANSWER_H
#define CH_NATIVE_ANSWER_H

#include <jansson.h>

#include "common/counter.h"
#include "common/http_server.h"
#include "common/rc.h"

/* Answers the request with a JSON value and releases it. */
void answer_json(struct http_request *request, int status, json_t *value);

/*
 * Answers with an error: `{"code", "name", "run", "message", "field"}`.
 * `field` and `message` may be NULL; the message is then the code's text.
 * Counts it as refused_total.
 */
void answer_error(struct http_request *request, struct counter_set *counters,
                  int rc, enum rc_run run, const char *field,
                  const char *message);

/* As answer_error() for a request that did or may not have run as the code
 * says; `retry_after_us` is when to come back, 0 for no advice. */
void answer_refusal(struct http_request *request, struct counter_set *counters,
                    int rc, int64_t retry_after_us);

/* The object's members as text without the braces; takes the object over. Free
 * with g_free. */
char *answer_members(json_t *object);

#endif
