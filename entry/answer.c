#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "entry/answer.h"

#define ANS_JSON_TYPE "application/json"

void
ans_json(struct hsv_request *request, int status, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    if (text == NULL) {
        static const char failed[] = "{}";
        hsv_respond(request, 500, ANS_JSON_TYPE, failed, strlen(failed));
        return;
    }
    hsv_respond(request, status, ANS_JSON_TYPE, text, strlen(text));
    free(text);
}

void
ans_error(struct hsv_request *request, struct cnt_set *counters, int rc,
          enum rc_run run, const char *field, const char *message)
{
    cnt_add(counters, "refused_total", rc_name(rc));
    /* Both may quote a part of the body that ends within a character. */
    char *text =
        g_utf8_make_valid(message != NULL ? message : rc_text(rc), -1);
    char *name = field != NULL ? g_utf8_make_valid(field, -1) : NULL;
    json_t *error = json_pack("{s:i, s:s, s:s, s:s, s:s*}", "code", rc, "name",
                              rc_name(rc), "run", rc_run_name(run), "message",
                              text, "field", name);
    g_free(text);
    g_free(name);
    ans_json(request, rc_http_status(rc), error);
}
