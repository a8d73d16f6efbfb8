#include <glib.h>
#include <string.h>

#include "common/json_scan.h"

/* Brackets opened within one value that are compared with those that close
 * them. */
#define JSON_SCAN_DEPTH_MAX 32

bool
json_scan_is_one_of(char c, const char *characters)
{
    return c != '\0' && strchr(characters, c) != NULL;
}

void
json_scan_skip_space(struct json_scan *scan)
{
    while (scan->at < scan->end && json_scan_is_one_of(*scan->at, " \t\r\n")) {
        scan->at += 1;
    }
}

bool
json_scan_is_at(struct json_scan *scan, char c)
{
    json_scan_skip_space(scan);
    return scan->at < scan->end && *scan->at == c;
}

bool
json_scan_accept(struct json_scan *scan, char c)
{
    bool is_next = json_scan_is_at(scan, c);
    scan->at += is_next ? 1 : 0;
    return is_next;
}

bool
json_scan_skip_string(struct json_scan *scan)
{
    scan->at += 1;
    while (scan->at < scan->end) {
        char c = *scan->at;
        scan->at += 1;
        if (c == '"') {
            return true;
        }
        if (c == '\\' && scan->at < scan->end) {
            scan->at += 1;
        }
    }
    return false;
}

/* Passes over bytes that are neither a string, an array nor an object: a
 * number, a word, or what cannot be read. */
static void
json_scan_skip_token(struct json_scan *scan)
{
    while (scan->at < scan->end &&
           !json_scan_is_one_of(*scan->at, "\",:[]{}")) {
        scan->at += 1;
    }
}

/* The opened arrays and objects of a value that is passed over. */
struct json_scan_nesting {
    char closers[JSON_SCAN_DEPTH_MAX];
    size_t depth; /* beyond the size of `closers` they are only counted */
};

static void
json_scan_open(struct json_scan_nesting *nesting, char c)
{
    if (nesting->depth < JSON_SCAN_DEPTH_MAX) {
        nesting->closers[nesting->depth] = c == '{' ? '}' : ']';
    }
    nesting->depth += 1;
}

/* Returns whether `c` closes what was opened last. */
static bool
json_scan_close(struct json_scan_nesting *nesting, char c)
{
    nesting->depth -= 1;
    return nesting->depth >= JSON_SCAN_DEPTH_MAX ||
           nesting->closers[nesting->depth] == c;
}

/*
 * Passes over an array or object, from its opening bracket on. Returns whether
 * its brackets match and a separator stands between each two values; it may be
 * invalid otherwise.
 */
static bool
json_scan_skip_nested(struct json_scan *scan)
{
    struct json_scan_nesting nesting = {.depth = 0};
    bool is_after_value = false;
    do {
        json_scan_skip_space(scan);
        if (scan->at == scan->end) {
            return false;
        }
        char c = *scan->at;
        bool is_closer = c == '}' || c == ']';
        bool is_separator = c == ',' || c == ':';
        if (is_after_value && !is_closer && !is_separator) {
            return false;
        }
        is_after_value = !is_separator && c != '{' && c != '[';
        if (c == '"') {
            if (!json_scan_skip_string(scan)) {
                return false;
            }
        }
        else if (is_closer) {
            scan->at += 1;
            if (!json_scan_close(&nesting, c)) {
                return false;
            }
        }
        else if (is_after_value) {
            json_scan_skip_token(scan);
        }
        else {
            scan->at += 1;
            if (!is_separator) {
                json_scan_open(&nesting, c);
            }
        }
    } while (nesting.depth > 0);
    return true;
}

bool
json_scan_skip_value(struct json_scan *scan)
{
    const char *start = scan->at;
    bool is_closed = true;
    if (json_scan_is_at(scan, '"')) {
        is_closed = json_scan_skip_string(scan);
    }
    else if (json_scan_is_at(scan, '{') || json_scan_is_at(scan, '[')) {
        is_closed = json_scan_skip_nested(scan);
    }
    else {
        json_scan_skip_token(scan);
    }
    size_t work = (size_t)(scan->at - start);
    bool is_affordable = work <= scan->work_left;
    scan->work_left -= MIN(work, scan->work_left);
    json_scan_skip_space(scan);
    return is_closed && is_affordable && scan->at < scan->end &&
           json_scan_is_one_of(*scan->at, ",]}");
}
