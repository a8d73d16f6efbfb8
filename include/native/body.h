#ifndef CH_NATIVE_BODY_H
#define CH_NATIVE_BODY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Strict parser of the JSON bodies of callers' requests: unknown fields,
 * duplicate fields and wrong types are errors. Holds no state. */

/* Larger bodies are refused with RC_TOO_LARGE. */
#define BODY_MAX_BYTES (256 * 1024)

enum body_kind {
    BODY_STRING,           /* target: const char *, inside the parsed body */
    BODY_INT,              /* target: int64_t */
    BODY_STRING_OR_OBJECT, /* target: json_t *, inside the parsed body */
};

struct body_field {
    const char *name;
    enum body_kind kind;
    void *target; /* unchanged if the field is absent */
    bool is_required;
    int64_t min;  /* of an integer, or of the length of a string in bytes */
    int64_t max;  /* the same */
    int range_rc; /* result code for a value outside min..max */
};

struct body_error {
    const char *field; /* NULL if the body as a whole is wrong */
    char unknown[64];  /* storage for the name of an unknown field */
    char message[160];
};

/* The fields that searches and orders have in common: the key, whose shard
 * gets the request, and the deadline of at most `max_ms`. */
struct body_field body_key_field(const char **key, bool is_required);
struct body_field body_deadline_field(int64_t *deadline_ms, int64_t max_ms);

/*
 * Parses a body that may have only the given fields. Returns RC_OK with the
 * parsed body in `*out` (free with json_decref), or RC_TOO_LARGE, RC_BAD_JSON,
 * RC_BAD_FIELD or the field's `range_rc` with `*error` set.
 */
int body_parse(const char *body, size_t body_bytes,
               const struct body_field *fields, size_t field_count,
               json_t **out, struct body_error *error);

#endif
