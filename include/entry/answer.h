#ifndef CH_ENTRY_ANSWER_H
#define CH_ENTRY_ANSWER_H

#include <jansson.h>

#include "common/counter.h"
#include "common/http_server.h"
#include "common/rc.h"

/* Answers the request with a JSON value and releases it. */
void ans_json(struct hsv_request *request, int status, json_t *value);

/*
 * Answers with an error: `{"code", "name", "run", "message", "field"}`.
 * `field` and `message` may be NULL; the message is then the code's text.
 * Counts it as refused_total.
 */
void ans_error(struct hsv_request *request, struct cnt_set *counters, int rc,
               enum rc_run run, const char *field, const char *message);

#endif
