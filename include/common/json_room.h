#ifndef CH_COMMON_JSON_ROOM_H
#define CH_COMMON_JSON_ROOM_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decodes JSON text that comes from another process within a limit of memory:
 * values may take a hundred times the bytes of their text. The limit holds for
 * the values of one text while it is decoded; what is kept of them afterwards
 * is its owner's. It belongs to the process, as the allocation functions of
 * the JSON library do.
 */

/* Sets the limit; 0, as at the start, means none. */
void json_room_set_max(uint64_t max_bytes);

/* As json_loadb(); NULL also, with a log line, if the values do not fit. */
json_t *json_room_load(const char *text, size_t bytes, size_t flags,
                       json_error_t *error);

/* From here to json_room_leave() the memory of new values counts, and none is
 * allocated beyond the limit. These calls do not nest. */
void json_room_enter(void);

/* Whether an allocation has failed since json_room_enter(). */
bool json_room_is_full(void);

/* Returns whether the values of the text, of `bytes`, fit; logs it if not. */
bool json_room_leave(size_t bytes);

/* The same for one of several values of a text, which another writer may have
 * written: it may take half of the limit. json_room_leave_part() returns
 * false if it took more; the text may go on without the value. */
void json_room_enter_part(void);
bool json_room_leave_part(void);

/* Memory in bytes that the library takes for the value and all that it
 * contains; 0 for NULL. Of a value that is contained twice each one counts. */
uint64_t json_room_size(const json_t *json);

/* How many texts did not fit since the start. */
uint64_t json_room_refused(void);

#endif
