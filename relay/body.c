#include <string.h>
#include <xxhash.h>

#include "relay/body.h"
#include "common/rc.h"

#define BDY_HTTP_OK 200
#define BDY_HTTP_GONE 409
#define BDY_HTTP_SHED 503

static json_int_t
bdy_budget_ms(int64_t budget_us)
{
    return budget_us < 1000 ? 1 : budget_us / 1000;
}

char *
bdy_search_body(const struct job *job, uint64_t request_id, int64_t budget_us)
{
    json_t *root = json_pack(
        "{s:I, s:I, s:I, s:s, s:I, s:I}", "request", (json_int_t)request_id,
        "shard", (json_int_t)job->shard, "version", (json_int_t)job->version,
        "query", job->text, "limit", (json_int_t)job->limit, "budget_ms",
        bdy_budget_ms(budget_us));
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    return text;
}

/* The order's body as the JSON value that it is, else as a string. */
static json_t *
bdy_order_value(const struct msg_bin *body)
{
    json_t *value = json_loadb(body->data, body->bytes,
                               JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
    return value != NULL ? value : json_stringn(body->data, body->bytes);
}

char *
bdy_execute_body(const struct job *job, uint64_t request_id, int64_t budget_us)
{
    json_t *value = bdy_order_value(&job->body);
    if (value == NULL) {
        return NULL;
    }
    json_t *root = json_pack("{s:I, s:s, s:I, s:o, s:I}", "request",
                             (json_int_t)request_id, "id", job->text, "shard",
                             (json_int_t)job->shard, "body", value,
                             "budget_ms", bdy_budget_ms(budget_us));
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    return text;
}

/* The number that a text is, or the digest of another text: a start id is
 * compared, never computed with. */
static uint64_t
bdy_start_id(const char *text)
{
    char *end = NULL;
    uint64_t number = g_ascii_strtoull(text, &end, 10);
    bool is_number = g_ascii_isdigit(text[0]) && *end == '\0';
    return is_number ? number : XXH64(text, strlen(text), 0);
}

static bool
bdy_read_start(const json_t *root, uint64_t *out)
{
    const json_t *start = json_object_get(root, "start");
    if (json_is_string(start)) {
        *out = bdy_start_id(json_string_value(start));
        return true;
    }
    if (json_is_integer(start)) {
        *out = (uint64_t)json_integer_value(start);
        return true;
    }
    return false;
}

static bool
bdy_read_uint(const json_t *root, const char *name, uint64_t *out)
{
    const json_t *value = json_object_get(root, name);
    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        return false;
    }
    *out = (uint64_t)json_integer_value(value);
    return true;
}

static bool
bdy_read_hit(const json_t *item, struct msg_hit *out)
{
    const json_t *score = json_array_get(item, 0);
    const json_t *id = json_array_get(item, 1);
    if (!json_is_number(score) || !json_is_string(id)) {
        return false;
    }
    out->score = json_is_integer(score) ? json_integer_value(score)
                                        : (int64_t)json_real_value(score);
    out->id = json_string_value(id);
    return true;
}

static int
bdy_read_result(const json_t *root, struct bdy_answer *out)
{
    struct dsp_answer *answer = &out->answer;
    const json_t *hits = json_object_get(root, "hits");
    if (!bdy_read_uint(root, "version", &answer->version) ||
        !bdy_read_uint(root, "shard", &answer->shard) ||
        !json_is_array(hits)) {
        return RC_BAD_REPLY;
    }
    size_t i = 0;
    const json_t *item = NULL;
    json_array_foreach(hits, i, item)
    {
        struct msg_hit hit;
        if (!bdy_read_hit(item, &hit)) {
            return RC_BAD_REPLY;
        }
        g_array_append_val(out->hits, hit);
    }
    answer->hits = (const struct msg_hit *)out->hits->data;
    answer->hit_count = out->hits->len;
    return RC_OK;
}

/* True if the searcher says that it did not run the request. */
static bool
bdy_says_not_run(int http_status, const json_t *root)
{
    return http_status == BDY_HTTP_SHED &&
           json_is_false(json_object_get(root, "run"));
}

/* Returns false for an answer to another request. */
static bool
bdy_start(struct bdy_answer *out, const char *body, size_t body_bytes,
          uint64_t request_id)
{
    *out = (struct bdy_answer){
        .answer = {.rc = RC_BAD_REPLY},
        .root = json_loadb(body, body_bytes, 0, NULL),
        .hits = g_array_new(FALSE, FALSE, sizeof(struct msg_hit)),
    };
    uint64_t answered_id = 0;
    if (!bdy_read_uint(out->root, "request", &answered_id) ||
        answered_id != request_id) {
        return false;
    }
    out->answer.has_start = bdy_read_start(out->root, &out->answer.start);
    return true;
}

void
bdy_read_search(int http_status, const char *body, size_t body_bytes,
                uint64_t request_id, struct bdy_answer *out)
{
    if (!bdy_start(out, body, body_bytes, request_id)) {
        return;
    }
    if (http_status == BDY_HTTP_GONE) {
        out->answer.rc = RC_VERSION_GONE;
    }
    else if (bdy_says_not_run(http_status, out->root)) {
        out->answer.rc = RC_SHED;
    }
    else if (http_status == BDY_HTTP_OK) {
        out->answer.rc = bdy_read_result(out->root, out);
    }
}

void
bdy_read_execute(int http_status, const char *body, size_t body_bytes,
                 uint64_t request_id, struct bdy_answer *out)
{
    if (!bdy_start(out, body, body_bytes, request_id)) {
        return;
    }
    const json_t *result = json_object_get(out->root, "result");
    if (bdy_says_not_run(http_status, out->root)) {
        out->answer.rc = RC_SHED;
    }
    else if (http_status == BDY_HTTP_OK && result != NULL) {
        out->result = json_dumps(result, JSON_COMPACT | JSON_ENCODE_ANY);
        out->answer.result = out->result;
        out->answer.result_bytes = strlen(out->result);
        out->answer.rc = RC_OK;
    }
}

void
bdy_answer_clear(struct bdy_answer *answer)
{
    g_array_free(answer->hits, TRUE);
    json_decref(answer->root);
    free(answer->result);
}

static bool
bdy_read_versions(const json_t *versions, struct sch_status *out)
{
    size_t i = 0;
    const json_t *item = NULL;
    json_array_foreach(versions, i, item)
    {
        struct msg_version version;
        if (!bdy_read_uint(item, "version", &version.version) ||
            !bdy_read_uint(item, "shard", &version.shard) ||
            !bdy_read_uint(item, "shards", &version.shards) ||
            version.shard >= version.shards) {
            return false;
        }
        if (out->version_count < SCH_VERSIONS_MAX) {
            out->versions[out->version_count] = version;
            out->version_count += 1;
        }
    }
    return true;
}

int
bdy_read_status(int http_status, const char *body, size_t body_bytes,
                struct sch_status *out)
{
    *out = (struct sch_status){.start = 0};
    json_t *root = json_loadb(body, body_bytes, 0, NULL);
    const json_t *versions = json_object_get(root, "versions");
    bool is_good = http_status == BDY_HTTP_OK &&
                   bdy_read_start(root, &out->start) &&
                   json_is_array(versions) && bdy_read_versions(versions, out);
    out->is_draining = json_is_true(json_object_get(root, "draining"));
    json_decref(root);
    return is_good ? RC_OK : RC_BAD_REPLY;
}
