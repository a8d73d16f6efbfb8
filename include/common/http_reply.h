#ifndef CH_COMMON_HTTP_REPLY_H
#define CH_COMMON_HTTP_REPLY_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/buffer.h"
#include "common/http_field_list.h"

/*
 * Reads the response to one request from the bytes of its connection, with
 * room from a share of the process's account. Interim responses are passed
 * over. Only http_client.c uses it.
 */

struct http_reply {
    http_parser parser;
    struct buffer *body;
    struct http_field_list fields;
    size_t body_max_bytes;
    uint32_t interim_count;
    uint64_t read_bytes; /* of the response, with its interim ones */
    bool is_head;        /* the request was HEAD */
    bool is_complete;
    int refusal; /* why the response is not accepted, or RC_OK */
};

void http_reply_init(struct http_reply *reply, size_t body_max_bytes,
                     struct resource_share *share);

void http_reply_clear(struct http_reply *reply);

/* A request was sent: forgets the last response. */
void http_reply_start(struct http_reply *reply, bool is_head);

/*
 * Parses more bytes; none mean the end of the stream. Returns RC_OK when the
 * response is complete, and sets `*is_clean` if nothing followed it; RC_AGAIN
 * if more bytes are needed; RC_BAD_REPLY, RC_REPLY_TOO_LARGE or
 * RC_REPLY_NO_ROOM.
 */
int http_reply_parse(struct http_reply *reply, const char *data, size_t bytes,
                     bool *is_clean);

/* The headers, which refer to the reply; free with g_free. */
struct http_field *http_reply_fields(const struct http_reply *reply);

#endif
