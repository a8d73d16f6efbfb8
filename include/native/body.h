#ifndef CH_NATIVE_BODY_H
#define CH_NATIVE_BODY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Strict reading of callers' JSON bodies. */

/* Bodies above this are refused. */
#define BODY_MAX_BYTES (256 * 1024)

enum body_kind {
    BODY_STRING, /* target: const char *, inside the parsed body */
    BODY_INT,    /* target: int64_t */
    BODY_DATA,   /* target: json_t *, a string or an object */
};

struct body_field {
    const char *name;
    enum body_kind kind;
    void *target; /* left alone when the field is absent */
    bool is_required;
    int64_t min; /* value, or bytes of a string */
    int64_t max;
    int rc_range; /* result code for a value out of range */
};

struct body_error {
    const char *field; /* NULL when the body as a whole is wrong */
    char unknown[64];  /* name of a field that is not known */
    char message[160];
};

/*
 * Parses a body that may hold only the given fields. Returns RC_OK and the
 * parsed body in `*out` (json_decref), or RC_TOO_LARGE, RC_BAD_JSON,
 * RC_BAD_FIELD or the field's `rc_range` with `*error` set.
 */
int body_parse(const char *body, size_t body_bytes,
               const struct body_field *fields, size_t field_count,
               json_t **out, struct body_error *error);

#endif
