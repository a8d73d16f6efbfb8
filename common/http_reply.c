#include <glib.h>

#include "common/http_reply.h"
#include "common/rc.h"

/* Statuses of final responses. */
#define HTTP_REPLY_STATUS_MIN 200
#define HTTP_REPLY_STATUS_MAX 599
/* Names and values of all headers. */
#define HTTP_REPLY_HEAD_MAX_BYTES (80 * 1024)
/* Statuses without a body, whatever the headers say. */
#define HTTP_REPLY_NO_CONTENT 204
#define HTTP_REPLY_NOT_MODIFIED 304
/* Interim responses before the final one. */
#define HTTP_REPLY_INTERIM_MAX 32
/* Bytes of a response that are not its body: this many for each byte of the
 * body, for the lines of small chunks, and those of all heads and trailers. */
#define HTTP_REPLY_FRAMING_PER_BODY_BYTE 16
#define HTTP_REPLY_FRAMING_MAX_BYTES                                          \
    ((uint64_t)HTTP_REPLY_HEAD_MAX_BYTES * (HTTP_REPLY_INTERIM_MAX + 2))

/* Stops the parser: the response cannot be held. */
static int
http_reply_stop(struct http_reply *reply, int rc)
{
    reply->refusal = rc;
    return -1; /* 1 would mean "no body" at the end of a head */
}

static int
http_reply_on_body(http_parser *parser, const char *at, size_t length)
{
    struct http_reply *reply = parser->data;
    if (reply->body->bytes + length > reply->body_max_bytes) {
        return http_reply_stop(reply, RC_REPLY_TOO_LARGE);
    }
    return buffer_append(reply->body, at, length) == RC_OK
               ? 0
               : http_reply_stop(reply, RC_REPLY_NO_ROOM);
}

/* Checks the headers after a piece was added with this result. */
static int
http_reply_check_head(struct http_reply *reply, int rc)
{
    if (rc != RC_OK) {
        return http_reply_stop(reply, rc == RC_NO_MEMORY ? RC_REPLY_NO_ROOM
                                                         : RC_BAD_REPLY);
    }
    return http_field_list_bytes(&reply->fields) <= HTTP_REPLY_HEAD_MAX_BYTES
               ? 0
               : http_reply_stop(reply, RC_BAD_REPLY);
}

static int
http_reply_on_header_field(http_parser *parser, const char *at, size_t length)
{
    struct http_reply *reply = parser->data;
    return http_reply_check_head(
        reply, http_field_list_add_name(&reply->fields, at, length));
}

static int
http_reply_on_header_value(http_parser *parser, const char *at, size_t length)
{
    struct http_reply *reply = parser->data;
    return http_reply_check_head(
        reply, http_field_list_add_value(&reply->fields, at, length));
}

/* Whether the response is an interim one, which another one follows. 101 would
 * end the protocol; no request asks for that. */
static bool
http_reply_is_interim(const http_parser *parser)
{
    return parser->status_code >= 100 && parser->status_code < 200 &&
           parser->status_code != 101;
}

/* Whether a final response may have the status. */
static bool
http_reply_is_final(const http_parser *parser)
{
    return parser->status_code >= HTTP_REPLY_STATUS_MIN &&
           parser->status_code <= HTTP_REPLY_STATUS_MAX;
}

static int
http_reply_on_headers_complete(http_parser *parser)
{
    struct http_reply *reply = parser->data;
    if (!http_reply_is_interim(parser) && !http_reply_is_final(parser)) {
        return http_reply_stop(reply, RC_BAD_REPLY);
    }
    bool has_no_body = reply->is_head || http_reply_is_interim(parser) ||
                       parser->status_code == HTTP_REPLY_NO_CONTENT ||
                       parser->status_code == HTTP_REPLY_NOT_MODIFIED;
    bool has_length = !has_no_body && (parser->flags & F_CONTENTLENGTH) != 0;
    if (has_length && parser->content_length > reply->body_max_bytes) {
        return http_reply_stop(reply, RC_REPLY_TOO_LARGE);
    }
    return has_no_body ? 1 : 0;
}

/* Forgets what was read of a response. */
static void
http_reply_reset(struct http_reply *reply)
{
    buffer_clear(reply->body);
    http_field_list_reset(&reply->fields);
}

static int
http_reply_on_message_complete(http_parser *parser)
{
    struct http_reply *reply = parser->data;
    if (http_reply_is_interim(parser)) {
        http_reply_reset(reply);
        reply->interim_count += 1;
        return reply->interim_count <= HTTP_REPLY_INTERIM_MAX
                   ? 0
                   : http_reply_stop(reply, RC_BAD_REPLY);
    }
    reply->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings http_reply_settings = {
    .on_header_field = http_reply_on_header_field,
    .on_header_value = http_reply_on_header_value,
    .on_headers_complete = http_reply_on_headers_complete,
    .on_body = http_reply_on_body,
    .on_message_complete = http_reply_on_message_complete,
};

void
http_reply_init(struct http_reply *reply, size_t body_max_bytes,
                struct resource_share *share)
{
    *reply = (struct http_reply){
        .body_max_bytes = body_max_bytes,
        .body = buffer_new(share),
    };
    http_field_list_init(&reply->fields, share);
}

void
http_reply_clear(struct http_reply *reply)
{
    buffer_unref(reply->body);
    http_field_list_clear(&reply->fields);
}

void
http_reply_start(struct http_reply *reply, bool is_head)
{
    http_parser_init(&reply->parser, HTTP_RESPONSE);
    reply->is_head = is_head;
    reply->refusal = RC_OK;
    reply->interim_count = 0;
    reply->read_bytes = 0;
    reply->is_complete = false;
    http_reply_reset(reply);
}

/* Whether more was read than the heads, the body and its chunks explain. */
static bool
http_reply_is_padded(const struct http_reply *reply)
{
    uint64_t body_bytes = reply->body->bytes;
    return reply->read_bytes >
           body_bytes * (1 + HTTP_REPLY_FRAMING_PER_BODY_BYTE) +
               HTTP_REPLY_FRAMING_MAX_BYTES;
}

int
http_reply_parse(struct http_reply *reply, const char *data, size_t bytes,
                 bool *is_clean)
{
    /* The reply may have been moved since it was started. */
    reply->parser.data = reply;
    size_t used =
        http_parser_execute(&reply->parser, &http_reply_settings, data, bytes);
    reply->read_bytes += used;
    if (reply->is_complete) {
        *is_clean = used == bytes || bytes == 0;
        return RC_OK;
    }
    if (reply->refusal != RC_OK) {
        return reply->refusal;
    }
    bool is_valid = HTTP_PARSER_ERRNO(&reply->parser) == HPE_OK &&
                    !http_reply_is_padded(reply);
    return is_valid ? RC_AGAIN : RC_BAD_REPLY;
}

struct http_field *
http_reply_fields(const struct http_reply *reply)
{
    size_t count = http_field_list_count(&reply->fields);
    struct http_field *fields = g_new0(struct http_field, count);
    for (size_t i = 0; i < count; i++) {
        fields[i] = http_field_list_get(&reply->fields, i);
    }
    return fields;
}
