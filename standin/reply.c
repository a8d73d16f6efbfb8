#include <stdlib.h>
#include <string.h>

#include "common/rc.h"
#include "standin/reply.h"

void
reply_text(struct http_request *request, int status, const char *text)
{
    http_server_respond(request, status, "application/json", text,
                        strlen(text));
}

void
reply_json(struct http_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    reply_text(request, status, text);
    free(text);
    json_decref(body);
}

void
reply_error(struct http_request *request, int rc)
{
    reply_json(request, rc_http_status(rc),
               json_pack("{s:s}", "error", rc_name(rc)));
}

/* The client has disconnected; responding only releases the request. */
static void
reply_on_disconnect(struct http_request *request, void *ctx)
{
    http_server_respond(request, 503, "text/plain", "", 0);
}

void
reply_withhold(struct http_request *request)
{
    request->on_disconnect = reply_on_disconnect;
    request->ctx = NULL;
}
