#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "native/hits.h"
#include "native/native.h"

/*
 * Encodes searches and orders for backend servers as HTTP requests with JSON
 * bodies, and decodes the responses.
 */

#define NATIVE_HTTP_OK 200
#define NATIVE_HTTP_VERSION_GONE 409
#define NATIVE_HTTP_SHED 503
#define NATIVE_BUDGET_MIN_MS 1

static bool
native_is_order(const struct request_params *request)
{
    return strcmp(request->host, NATIVE_ORDER_HOST) == 0;
}

GString *
native_write_request(const struct backend *backend,
                     const struct attempt_send *send)
{
    const struct request_params *request = send->request;
    GString *body = g_string_new(NULL);
    g_string_append_printf(
        body, "{\"request\":%s,\"shard\":%u,\"budget_ms\":%" G_GINT64_FORMAT,
        request->id, send->target,
        MAX(send->left_us / 1000, NATIVE_BUDGET_MIN_MS));
    bool is_order = native_is_order(request);
    if (!is_order) {
        g_string_append_printf(body, ",\"version\":%" G_GINT64_FORMAT,
                               send->route->snapshot);
    }
    /* The request's own body is JSON members without the braces. */
    g_string_append_c(body, ',');
    g_string_append_len(body, request->body, (gssize)request->body_bytes);
    g_string_append_c(body, '}');
    GString *out = g_string_sized_new(256 + body->len);
    g_string_append_printf(out,
                           "POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           is_order ? "/execute" : "/search", backend->address,
                           body->len);
    g_string_append_len(out, body->str, (gssize)body->len);
    g_string_free(body, TRUE);
    return out;
}

/* The start id of the backend server's process: a number, or the hash of a
 * string, since it is only compared. 0 if there is none. */
static uint64_t
native_read_start_id(const json_t *root)
{
    const json_t *start = json_object_get(root, "start");
    const char *text = json_string_value(start);
    if (text != NULL) {
        return XXH64(text, strlen(text), 0);
    }
    return (uint64_t)json_integer_value(start);
}

static bool
native_integer_equals(const json_t *root, const char *name, int64_t expected)
{
    const json_t *value = json_object_get(root, name);
    return json_is_integer(value) && json_integer_value(value) == expected;
}

static int
native_read_hits(const json_t *hits, GByteArray *out)
{
    size_t i = 0;
    const json_t *item = NULL;
    json_array_foreach(hits, i, item)
    {
        const json_t *score = json_array_get(item, 0);
        const char *id = json_string_value(json_array_get(item, 1));
        if (!json_is_integer(score) || id == NULL) {
            return RC_BAD_REPLY;
        }
        hit_append(out, json_integer_value(score), id);
    }
    return RC_OK;
}

/* Decodes the hits of one shard, or the result of an order. */
static int
native_read_result(const json_t *root, const struct wire_sent_request *sent,
                   struct wire_answer *out)
{
    const json_t *hits = json_object_get(root, "hits");
    const json_t *result = json_object_get(root, "result");
    out->body = g_byte_array_new();
    if (json_is_array(hits)) {
        bool is_match = native_integer_equals(root, "shard", sent->target) &&
                        native_integer_equals(root, "version", sent->snapshot);
        return is_match ? native_read_hits(hits, out->body) : RC_BAD_REPLY;
    }
    if (result == NULL) {
        return RC_BAD_REPLY;
    }
    char *text = json_dumps(result, JSON_COMPACT | JSON_ENCODE_ANY);
    g_byte_array_append(out->body, (const guint8 *)text, (guint)strlen(text));
    free(text);
    return RC_OK;
}

/* Whether the backend server states that it did not run the request. */
static bool
native_says_not_run(const json_t *root)
{
    return json_is_false(json_object_get(root, "run"));
}

static int
native_answer_rc(const struct http_response *response, const json_t *root,
                 const struct wire_sent_request *sent, struct wire_answer *out)
{
    if (response->rc != RC_OK) {
        return response->rc;
    }
    /* On a reused connection this may be a late or repeated response to
     * another request. */
    const json_t *request_id = json_object_get(root, "request");
    if (!json_is_integer(request_id) ||
        (uint64_t)json_integer_value(request_id) !=
            g_ascii_strtoull(sent->id, NULL, 10)) {
        return RC_BAD_REPLY;
    }
    /* Orders have no version. */
    if (response->status == NATIVE_HTTP_VERSION_GONE && sent->is_idempotent) {
        return RC_VERSION_GONE;
    }
    if (response->status == NATIVE_HTTP_SHED && native_says_not_run(root)) {
        return RC_SHED;
    }
    return response->status == NATIVE_HTTP_OK
               ? native_read_result(root, sent, out)
               : RC_BAD_REPLY;
}

void
native_read_answer(const struct http_response *response,
                   const struct wire_sent_request *sent,
                   struct wire_answer *out)
{
    json_t *root =
        response->rc == RC_OK
            ? json_room_load(response->body, response->body_bytes, 0, NULL)
            : NULL;
    int rc = native_answer_rc(response, root, sent, out);
    out->answer = (struct backend_answer){
        .rc = rc,
        .says_not_run = rc == RC_SHED || rc == RC_VERSION_GONE,
        .status = response->status,
        .stamp = "",
        .fields = "",
        .body = out->body != NULL ? (const void *)out->body->data : "",
        .body_bytes = out->body != NULL ? out->body->len : 0,
        .is_reusable = response->rc == RC_OK && response->is_keepalive &&
                       rc != RC_BAD_REPLY,
        .keepalive_us = BACKEND_IDLE_MAX_US,
        .warmup_us = -1,
        .start = native_read_start_id(root),
    };
    json_decref(root);
}
