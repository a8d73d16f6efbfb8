#ifndef CH_RELAY_BODY_H
#define CH_RELAY_BODY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/dispatch.h"
#include "relay/searcher.h"

/* Bodies of requests to searchers and of their answers (JSON). */

/* An answer and the memory that it points to. */
struct bdy_answer {
    struct dsp_answer answer;
    json_t *root;
    GArray *hits; /* struct msg_hit */
    char *result;
};

/* Body of POST /search; free with free(). */
char *bdy_search_body(const struct job *job, uint64_t request_id,
                      int64_t budget_us);

/* Body of POST /execute; free with free(). */
char *bdy_execute_body(const struct job *job, uint64_t request_id,
                       int64_t budget_us);

/*
 * Read the answer to a search or an order. `answer.rc` is RC_OK,
 * RC_VERSION_GONE (search only), RC_SHED when the searcher says that it did
 * not run the request, or RC_BAD_REPLY. Any answer that does not repeat
 * `request_id` is RC_BAD_REPLY: a late second answer to an earlier request on
 * the same link must not pass for this one, least of all a "not run".
 */
void bdy_read_search(int http_status, const char *body, size_t body_bytes,
                     uint64_t request_id, struct bdy_answer *out);
void bdy_read_execute(int http_status, const char *body, size_t body_bytes,
                      uint64_t request_id, struct bdy_answer *out);

void bdy_answer_clear(struct bdy_answer *answer);

/* Reads the answer to GET /status. Returns RC_OK or RC_BAD_REPLY. */
int bdy_read_status(int http_status, const char *body, size_t body_bytes,
                    struct sch_status *out);

#endif
