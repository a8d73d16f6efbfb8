#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/json_room.h"
#include "common/rc.h"
#include "load/check.h"
#include "standin/hits.h"

/* Tolerance for the rounding of coverage in the JSON text. */
#define CHECK_COVERAGE_TOLERANCE 1e-6
#define CHECK_SHARDS_MAX 100000

/* The response that is checked. */
struct check_response {
    const struct check_query *query;
    int64_t snapshot;
    uint32_t shards;    /* shards_total of the response */
    uint32_t layout;    /* shards of the version, 0 if not known yet */
    uint32_t key_shard; /* with a key: the only shard that is queried */
    bool has_key_shard;
    GHashTable *missing; /* set of shards */
    uint32_t missing_count;
    double coverage;
    bool is_complete;
    const json_t *hits;
};

const char *
check_name(enum check_verdict verdict)
{
#define CHECK_NAME(symbol, name, text) [symbol] = (name),
    static const char *const names[] = {CHECK_LIST(CHECK_NAME)};
#undef CHECK_NAME
    return names[verdict];
}

void
check_init(struct checker *checker)
{
    checker->layouts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
check_clear(struct checker *checker)
{
    g_hash_table_destroy(checker->layouts);
}

static bool
check_is_missing(const struct check_response *response, uint32_t shard)
{
    return response->missing_count > 0 &&
           g_hash_table_contains(response->missing, GUINT_TO_POINTER(shard));
}

static enum check_verdict
check_read_missing(struct check_response *response, const json_t *missing)
{
    size_t i;
    json_t *item;
    json_array_foreach(missing, i, item)
    {
        const json_t *shard = json_object_get(item, "shard");
        int64_t number = json_integer_value(shard);
        if (!json_is_integer(shard) || number < 0 ||
            number >= CHECK_SHARDS_MAX ||
            !json_is_string(json_object_get(item, "reason"))) {
            return CHECK_BAD_FIELD;
        }
        bool is_new =
            g_hash_table_add(response->missing, GINT_TO_POINTER((int)number));
        bool is_queried =
            response->query->key != NULL || number < response->shards;
        if (!is_new || !is_queried) {
            return CHECK_COVERAGE;
        }
        response->missing_count += 1;
    }
    return CHECK_OK;
}

static enum check_verdict
check_read(struct check_response *response, const json_t *body)
{
    const json_t *snapshot = json_object_get(body, "snapshot");
    const json_t *coverage = json_object_get(body, "coverage");
    const json_t *shards = json_object_get(body, "shards_total");
    const json_t *missing = json_object_get(body, "missing");
    const json_t *complete = json_object_get(body, "complete");
    response->hits = json_object_get(body, "hits");
    if (!json_is_integer(snapshot) || !json_is_number(coverage) ||
        !json_is_integer(shards) || !json_is_array(missing) ||
        !json_is_boolean(complete) || !json_is_array(response->hits) ||
        json_integer_value(shards) <= 0 ||
        json_integer_value(shards) > CHECK_SHARDS_MAX) {
        return CHECK_BAD_FIELD;
    }
    response->snapshot = json_integer_value(snapshot);
    response->shards = (uint32_t)json_integer_value(shards);
    response->coverage = json_number_value(coverage);
    response->is_complete = json_is_true(complete);
    return check_read_missing(response, missing);
}

/* Compares the number of shards with earlier responses of the same service and
 * version. */
static enum check_verdict
check_layout(struct checker *checker, struct check_response *response)
{
    char *name = g_strdup_printf("%s %lld", response->query->service,
                                 (long long)response->snapshot);
    response->layout =
        GPOINTER_TO_UINT(g_hash_table_lookup(checker->layouts, name));
    if (response->query->key == NULL && response->layout == 0) {
        response->layout = response->shards;
        g_hash_table_insert(checker->layouts, name,
                            GUINT_TO_POINTER(response->shards));
        return CHECK_OK;
    }
    g_free(name);
    /* With a key the response may count only the shard of the key. */
    bool is_same = response->layout == response->shards ||
                   (response->query->key != NULL &&
                    (response->shards == 1 || response->layout == 0));
    return is_same ? CHECK_OK : CHECK_LAYOUT;
}

static void
check_find_key_shard(struct check_response *response)
{
    const char *key = response->query->key;
    uint32_t layout =
        response->layout != 0 ? response->layout : response->shards;
    /* If shards_total is 1 and the layout is not known, either the version has
     * one shard or the response counts only the shard of the key. */
    if (key != NULL && (response->layout != 0 || response->shards > 1)) {
        response->has_key_shard = true;
        response->key_shard = (uint32_t)(XXH64(key, strlen(key), 0) % layout);
    }
}

static enum check_verdict
check_coverage(const struct check_response *response)
{
    uint32_t needed = response->query->key != NULL ? 1 : response->shards;
    if (response->missing_count > needed) {
        return CHECK_COVERAGE;
    }
    double expected =
        (double)(needed - response->missing_count) / (double)needed;
    if (fabs(response->coverage - expected) > CHECK_COVERAGE_TOLERANCE) {
        return CHECK_COVERAGE;
    }
    if (response->has_key_shard && response->missing_count > 0 &&
        !check_is_missing(response, response->key_shard)) {
        return CHECK_COVERAGE;
    }
    return response->is_complete == (response->missing_count == 0)
               ? CHECK_OK
               : CHECK_COMPLETE;
}

/* Parses [score, id] or {"score", "id"}. Returns the id, or NULL if the hit
 * is malformed. */
static const char *
check_read_hit(const json_t *hit, int64_t *score)
{
    bool is_pair = json_is_array(hit);
    const json_t *number =
        is_pair ? json_array_get(hit, 0) : json_object_get(hit, "score");
    const json_t *id =
        is_pair ? json_array_get(hit, 1) : json_object_get(hit, "id");
    if (!json_is_number(number) || !json_is_string(id)) {
        return NULL;
    }
    *score = (int64_t)json_number_value(number);
    return json_string_value(id);
}

static enum check_verdict
check_hit_origin(struct check_response *response, const char *id)
{
    long long version = 0;
    unsigned shard = 0;
    unsigned n = 0;
    int used = 0;
    if (sscanf(id, "v%lld-s%u-%u-%n", &version, &shard, &n, &used) != 3 ||
        used == 0 || strcmp(id + used, response->query->text) != 0) {
        return CHECK_QUERY;
    }
    if (version != response->snapshot) {
        return CHECK_SNAPSHOT;
    }
    if (response->query->key != NULL && !response->has_key_shard) {
        /* The number of shards is not known yet: all hits must be of the same
         * shard. */
        response->has_key_shard = true;
        response->key_shard = shard;
    }
    bool is_queried = response->has_key_shard ? shard == response->key_shard
                                              : shard < response->shards;
    if (!is_queried || check_is_missing(response, shard) ||
        n >= STANDIN_HIT_PER_SHARD) {
        return CHECK_SHARD;
    }
    return CHECK_OK;
}

static enum check_verdict
check_hits(struct check_response *response)
{
    size_t i;
    json_t *hit;
    int64_t previous_score = INT64_MAX;
    enum check_verdict verdict = CHECK_OK;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    json_array_foreach(response->hits, i, hit)
    {
        int64_t score = 0;
        const char *id = check_read_hit(hit, &score);
        verdict =
            id == NULL ? CHECK_BAD_FIELD : check_hit_origin(response, id);
        if (verdict == CHECK_OK && score != standin_hit_score(id)) {
            verdict = CHECK_SCORE;
        }
        if (verdict == CHECK_OK && !g_hash_table_add(seen, (gpointer)id)) {
            verdict = CHECK_DUPLICATE;
        }
        if (verdict == CHECK_OK && score > previous_score) {
            verdict = CHECK_UNSORTED;
        }
        if (verdict != CHECK_OK) {
            break;
        }
        previous_score = score;
    }
    g_hash_table_destroy(seen);
    return verdict;
}

static int
check_compare_scores(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left < right) - (left > right);
}

static void
check_add_scores(const struct check_response *response, uint32_t shard,
                 GArray *scores)
{
    struct standin_hit hits[STANDIN_HIT_PER_SHARD];
    if (check_is_missing(response, shard)) {
        return;
    }
    standin_hit_shard(response->snapshot, shard, response->query->text, hits);
    for (uint32_t n = 0; n < STANDIN_HIT_PER_SHARD; n++) {
        g_array_append_val(scores, hits[n].score);
    }
    standin_hit_clear(hits, STANDIN_HIT_PER_SHARD);
}

/*
 * Compares the hits with the best ones of all shards that are not missing. The
 * hits are already known to be genuine and distinct, so comparing the scores
 * is enough; hits with equal scores may be in any order.
 */
static enum check_verdict
check_best(const struct check_response *response)
{
    GArray *scores = g_array_new(FALSE, FALSE, sizeof(int64_t));
    if (response->has_key_shard) {
        check_add_scores(response, response->key_shard, scores);
    }
    else if (response->query->key == NULL) {
        for (uint32_t shard = 0; shard < response->shards; shard++) {
            check_add_scores(response, shard, scores);
        }
    }
    /* With a key and without a hit the shard is not known. The shard has hits,
     * so it must be reported as missing. */
    bool is_shard_unknown =
        response->query->key != NULL && !response->has_key_shard;
    bool is_correct = !is_shard_unknown || response->missing_count > 0;
    size_t expected = MIN(scores->len, (size_t)response->query->limit);
    is_correct = is_correct && json_array_size(response->hits) == expected;
    g_array_sort(scores, check_compare_scores);
    for (size_t i = 0; is_correct && i < expected; i++) {
        int64_t score = 0;
        check_read_hit(json_array_get(response->hits, i), &score);
        is_correct = score == g_array_index(scores, int64_t, i);
    }
    g_array_free(scores, TRUE);
    return is_correct ? CHECK_OK : CHECK_HITS;
}

static enum check_verdict
check_body(struct checker *checker, struct check_response *response,
           const json_t *body)
{
    enum check_verdict verdict = check_read(response, body);
    if (verdict == CHECK_OK) {
        verdict = check_layout(checker, response);
    }
    if (verdict == CHECK_OK) {
        check_find_key_shard(response);
        verdict = check_coverage(response);
    }
    if (verdict == CHECK_OK) {
        verdict = check_hits(response);
    }
    return verdict == CHECK_OK ? check_best(response) : verdict;
}

struct check_result
check_search(struct checker *checker, const struct check_query *query,
             const char *body, size_t body_bytes)
{
    json_t *parsed = json_room_load(body, body_bytes, 0, NULL);
    if (parsed == NULL) {
        return (struct check_result){.verdict = CHECK_BAD_JSON};
    }
    struct check_response response = {
        .query = query,
        .missing = g_hash_table_new(g_direct_hash, g_direct_equal),
    };
    struct check_result result = {
        .verdict = check_body(checker, &response, parsed),
        .is_complete = response.is_complete,
        .coverage = response.coverage,
    };
    g_hash_table_destroy(response.missing);
    json_decref(parsed);
    return result;
}

enum check_verdict
check_order(const char *id, const char *body, size_t body_bytes)
{
    json_t *parsed = json_room_load(body, body_bytes, 0, NULL);
    if (parsed == NULL) {
        return CHECK_BAD_JSON;
    }
    json_decref(parsed);
    char *quoted = g_strdup_printf("\"%s\"", id);
    bool has_id = g_strstr_len(body, (gssize)body_bytes, quoted) != NULL;
    g_free(quoted);
    return has_id ? CHECK_OK : CHECK_ORDER;
}

static bool
check_read_run(const json_t *body, enum rc_executed *out)
{
    const char *name = json_string_value(json_object_get(body, "run"));
    for (int run = RC_EXECUTED_NO; name != NULL && run <= RC_EXECUTED_YES;
         run++) {
        if (strcmp(rc_executed_name((enum rc_executed)run), name) == 0) {
            *out = (enum rc_executed)run;
            return true;
        }
    }
    return false;
}

enum check_verdict
check_refusal(int status, const char *body, size_t body_bytes,
              struct check_refusal *out)
{
    json_t *parsed = json_room_load(body, body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(parsed, "name"));
    int64_t code = json_integer_value(json_object_get(parsed, "code"));
    out->rc = name == NULL ? 1 : rc_from_name(name);
    bool has_run = check_read_run(parsed, &out->run);
    json_decref(parsed);
    if (out->rc >= 0 || code != out->rc || !has_run) {
        return CHECK_REFUSAL;
    }
    return rc_http_status(out->rc) == status ? CHECK_OK : CHECK_STATUS;
}
