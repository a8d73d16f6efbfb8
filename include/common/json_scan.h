#ifndef CH_COMMON_JSON_SCAN_H
#define CH_COMMON_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Moves over JSON text that may be broken, without decoding it: finds where a
 * string or another value ends. The owner of the struct is its only user and
 * may copy it to look ahead.
 */
struct json_scan {
    const char *at;
    const char *end;
    size_t work_left; /* bytes that values may still be passed over */
};

/* Whether the byte is one of the characters. */
bool json_scan_is_one_of(char c, const char *characters);

/* Passes over white space. */
void json_scan_skip_space(struct json_scan *scan);

/* Whether the next byte but white space is `c`. */
bool json_scan_is_at(struct json_scan *scan, char c);

/* The same; passes over it if it is. */
bool json_scan_accept(struct json_scan *scan, char c);

/* Passes over a string, from its opening quotation mark on. Returns whether it
 * is closed. */
bool json_scan_skip_string(struct json_scan *scan);

/* Passes over a value that is followed by a comma or a closing bracket.
 * Returns false if none ends here. */
bool json_scan_skip_value(struct json_scan *scan);

#endif
