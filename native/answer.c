#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "native/answer.h"

#define ANSWER_JSON_TYPE "application/json"

static void
answer_send(struct http_request *request, int status, json_t *value,
            const char *retry_after)
{
    static const char empty_object[] = "{}";
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    const struct http_field fields[] = {
        http_field_of("content-type", ANSWER_JSON_TYPE),
        http_field_of("retry-after", retry_after != NULL ? retry_after : ""),
    };
    const char *body = text != NULL ? text : empty_object;
    http_server_respond_fields(request, text != NULL ? status : 500, fields,
                               retry_after != NULL ? 2 : 1, body,
                               strlen(body));
    free(text);
}

void
answer_json(struct http_request *request, int status, json_t *value)
{
    answer_send(request, status, value, NULL);
}

static json_t *
answer_error_json(int rc, enum rc_executed run, const char *field,
                  const char *message)
{
    /* The message and the field name may quote a part of the body that was cut
     * within a UTF-8 character. */
    char *text =
        g_utf8_make_valid(message != NULL ? message : rc_text(rc), -1);
    char *name = field != NULL ? g_utf8_make_valid(field, -1) : NULL;
    json_t *error = json_pack("{s:i, s:s, s:s, s:s, s:s*}", "code", rc, "name",
                              rc_name(rc), "run", rc_executed_name(run),
                              "message", text, "field", name);
    g_free(text);
    g_free(name);
    return error;
}

void
answer_error(struct http_request *request, struct counter_set *counters,
             int rc, enum rc_executed run, const char *field,
             const char *message)
{
    counter_add(counters, "refused_total", rc_name(rc));
    answer_json(request, rc_http_status(rc),
                answer_error_json(rc, run, field, message));
}

void
answer_refusal(struct http_request *request, struct counter_set *counters,
               int rc, int64_t retry_after_us)
{
    counter_add(counters, "refused_total", rc_name(rc));
    char retry_after[32];
    (void)g_snprintf(retry_after, sizeof(retry_after), "%.3f",
                     (double)retry_after_us / 1e6);
    answer_send(request, rc_http_status(rc),
                answer_error_json(rc, rc_executed(rc), NULL, NULL),
                retry_after_us > 0 ? retry_after : NULL);
}

void
answer_disconnected(struct http_request *request)
{
    http_server_respond(request, rc_http_status(RC_CANCELLED), "text/plain",
                        "", 0);
}

char *
answer_json_members(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    char *members = g_strndup(text + 1, strlen(text) - 2);
    free(text);
    return members;
}
