#include "common/http_wait.h"

void
http_wait_start(struct http_wait *wait, enum http_wait_kind kind,
                uint64_t now_ms)
{
    wait->kind = kind;
    wait->since_ms = now_ms;
    wait->moved_bytes = 0;
}

void
http_wait_move(struct http_wait *wait, uint64_t bytes, uint64_t now_ms)
{
    wait->moved_bytes += bytes;
    if (wait->moved_bytes >= HTTP_WAIT_PROGRESS_BYTES) {
        wait->moved_bytes = 0;
        wait->since_ms = now_ms;
    }
}

/* Returns the longest duration of the wait, UINT64_MAX for no limit. */
static uint64_t
http_wait_max_ms(const struct http_wait *wait,
                 const struct http_wait_limits *limits)
{
    switch (wait->kind) {
    case HTTP_WAIT_REQUEST:
        return limits->idle_ms;
    case HTTP_WAIT_HEAD:
        return limits->head_ms;
    case HTTP_WAIT_BODY:
    case HTTP_WAIT_READER:
        return limits->progress_ms;
    case HTTP_WAIT_CLOSE:
        return HTTP_WAIT_CLOSE_MS;
    case HTTP_WAIT_HANDLER:
        break;
    }
    return UINT64_MAX;
}

static uint64_t
http_wait_waited_ms(const struct http_wait *wait, uint64_t now_ms)
{
    return now_ms > wait->since_ms ? now_ms - wait->since_ms : 0;
}

bool
http_wait_is_over(const struct http_wait *wait,
                  const struct http_wait_limits *limits, uint64_t now_ms)
{
    return http_wait_waited_ms(wait, now_ms) >= http_wait_max_ms(wait, limits);
}

bool
http_wait_is_stalled(const struct http_wait *wait, uint64_t now_ms)
{
    return wait->kind != HTTP_WAIT_HANDLER &&
           http_wait_waited_ms(wait, now_ms) >= HTTP_WAIT_STALLED_MS;
}

/* Whether the connection waits for the next request after others. */
static bool
http_wait_is_kept(const struct http_wait *wait)
{
    return wait->kind == HTTP_WAIT_REQUEST && wait->has_served;
}

bool
http_wait_goes_before(const struct http_wait *a, const struct http_wait *b)
{
    if (http_wait_is_kept(a) != http_wait_is_kept(b)) {
        return http_wait_is_kept(b);
    }
    return a->since_ms < b->since_ms;
}
