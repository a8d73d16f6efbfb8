#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/reply.h"

void
rpl_text(struct hsv_request *request, int status, const char *text)
{
    hsv_respond(request, status, "application/json", text, strlen(text));
}

void
rpl_json(struct hsv_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    rpl_text(request, status, text);
    free(text);
    json_decref(body);
}

void
rpl_error(struct hsv_request *request, int rc)
{
    rpl_json(request, rc_http_status(rc),
             json_pack("{s:s}", "error", rc_name(rc)));
}

static void
rpl_on_gone(struct hsv_request *request, void *ctx)
{
    hsv_respond(request, 503, "text/plain", "", 0);
}

void
rpl_never(struct hsv_request *request)
{
    request->on_gone = rpl_on_gone;
    request->ctx = NULL;
}
