#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/rc.h"
#include "load/check.h"
#include "standin/hits.h"

/* Coverage is a decimal fraction in the answer. */
#define CHK_COVERAGE_ERROR 1e-6
#define CHK_SHARDS_MAX 100000

/* One answer under check. */
struct chk_answer {
    const struct chk_query *query;
    int64_t snapshot;
    uint32_t shards;     /* shards_total of the answer */
    uint32_t layout;     /* shards of the version, 0 while not known */
    uint32_t lone_shard; /* the only shard that was asked, with a key */
    bool has_lone_shard;
    GHashTable *missing; /* set of shards */
    uint32_t missing_count;
    double coverage;
    bool is_complete;
    const json_t *hits;
};

const char *
chk_name(enum chk_kind kind)
{
#define CHK_NAME(symbol, name, text) [symbol] = (name),
    static const char *const names[] = {CHK_LIST(CHK_NAME)};
#undef CHK_NAME
    return names[kind];
}

void
chk_init(struct chk *checker)
{
    checker->layouts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
chk_clear(struct chk *checker)
{
    g_hash_table_destroy(checker->layouts);
}

static bool
chk_is_missing(const struct chk_answer *answer, uint32_t shard)
{
    return answer->missing_count > 0 &&
           g_hash_table_contains(answer->missing, GUINT_TO_POINTER(shard));
}

static enum chk_kind
chk_read_missing(struct chk_answer *answer, const json_t *missing)
{
    size_t i;
    json_t *item;
    json_array_foreach(missing, i, item)
    {
        const json_t *shard = json_object_get(item, "shard");
        int64_t number = json_integer_value(shard);
        if (!json_is_integer(shard) || number < 0 ||
            number >= CHK_SHARDS_MAX ||
            !json_is_string(json_object_get(item, "reason"))) {
            return CHK_BAD_FIELD;
        }
        bool is_new =
            g_hash_table_add(answer->missing, GINT_TO_POINTER((int)number));
        bool is_asked = answer->query->key != NULL || number < answer->shards;
        if (!is_new || !is_asked) {
            return CHK_COVERAGE;
        }
        answer->missing_count += 1;
    }
    return CHK_RIGHT;
}

static enum chk_kind
chk_read(struct chk_answer *answer, const json_t *body)
{
    const json_t *snapshot = json_object_get(body, "snapshot");
    const json_t *coverage = json_object_get(body, "coverage");
    const json_t *shards = json_object_get(body, "shards_total");
    const json_t *missing = json_object_get(body, "missing");
    const json_t *complete = json_object_get(body, "complete");
    answer->hits = json_object_get(body, "hits");
    if (!json_is_integer(snapshot) || !json_is_number(coverage) ||
        !json_is_integer(shards) || !json_is_array(missing) ||
        !json_is_boolean(complete) || !json_is_array(answer->hits) ||
        json_integer_value(shards) <= 0 ||
        json_integer_value(shards) > CHK_SHARDS_MAX) {
        return CHK_BAD_FIELD;
    }
    answer->snapshot = json_integer_value(snapshot);
    answer->shards = (uint32_t)json_integer_value(shards);
    answer->coverage = json_number_value(coverage);
    answer->is_complete = json_is_true(complete);
    return chk_read_missing(answer, missing);
}

/* Compares the layout with earlier answers of the service and version. */
static enum chk_kind
chk_layout(struct chk *checker, struct chk_answer *answer)
{
    char *name = g_strdup_printf("%s %lld", answer->query->service,
                                 (long long)answer->snapshot);
    answer->layout =
        GPOINTER_TO_UINT(g_hash_table_lookup(checker->layouts, name));
    if (answer->query->key == NULL && answer->layout == 0) {
        answer->layout = answer->shards;
        g_hash_table_insert(checker->layouts, name,
                            GUINT_TO_POINTER(answer->shards));
        return CHK_RIGHT;
    }
    g_free(name);
    /* With a key the answer may count just the shard that it needed. */
    bool is_same = answer->layout == answer->shards ||
                   (answer->query->key != NULL &&
                    (answer->shards == 1 || answer->layout == 0));
    return is_same ? CHK_RIGHT : CHK_LAYOUT;
}

static void
chk_find_lone_shard(struct chk_answer *answer)
{
    const char *key = answer->query->key;
    uint32_t layout = answer->layout != 0 ? answer->layout : answer->shards;
    /* One shard may be the whole layout or the share of a key. */
    if (key != NULL && (answer->layout != 0 || answer->shards > 1)) {
        answer->has_lone_shard = true;
        answer->lone_shard = (uint32_t)(XXH64(key, strlen(key), 0) % layout);
    }
}

static enum chk_kind
chk_coverage(const struct chk_answer *answer)
{
    uint32_t needed = answer->query->key != NULL ? 1 : answer->shards;
    if (answer->missing_count > needed) {
        return CHK_COVERAGE;
    }
    double expected =
        (double)(needed - answer->missing_count) / (double)needed;
    if (fabs(answer->coverage - expected) > CHK_COVERAGE_ERROR) {
        return CHK_COVERAGE;
    }
    if (answer->has_lone_shard && answer->missing_count > 0 &&
        !chk_is_missing(answer, answer->lone_shard)) {
        return CHK_COVERAGE;
    }
    return answer->is_complete == (answer->missing_count == 0) ? CHK_RIGHT
                                                               : CHK_COMPLETE;
}

/* Reads [score, id] or {"score", "id"}. */
static const char *
chk_read_hit(const json_t *hit, int64_t *score)
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

static enum chk_kind
chk_hit_origin(struct chk_answer *answer, const char *id)
{
    long long version = 0;
    unsigned shard = 0;
    unsigned n = 0;
    int used = 0;
    if (sscanf(id, "v%lld-s%u-%u-%n", &version, &shard, &n, &used) != 3 ||
        used == 0 || strcmp(id + used, answer->query->text) != 0) {
        return CHK_QUERY;
    }
    if (version != answer->snapshot) {
        return CHK_SNAPSHOT;
    }
    if (answer->query->key != NULL && !answer->has_lone_shard) {
        /* The layout is not known yet: all hits must be of one shard. */
        answer->has_lone_shard = true;
        answer->lone_shard = shard;
    }
    bool is_asked = answer->has_lone_shard ? shard == answer->lone_shard
                                           : shard < answer->shards;
    if (!is_asked || chk_is_missing(answer, shard) || n >= SIH_PER_SHARD) {
        return CHK_SHARD;
    }
    return CHK_RIGHT;
}

static enum chk_kind
chk_hits(struct chk_answer *answer)
{
    size_t i;
    json_t *hit;
    int64_t above = INT64_MAX;
    enum chk_kind kind = CHK_RIGHT;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    json_array_foreach(answer->hits, i, hit)
    {
        int64_t score = 0;
        const char *id = chk_read_hit(hit, &score);
        kind = id == NULL ? CHK_BAD_FIELD : chk_hit_origin(answer, id);
        if (kind == CHK_RIGHT && score != sih_score(id)) {
            kind = CHK_SCORE;
        }
        if (kind == CHK_RIGHT && !g_hash_table_add(seen, (gpointer)id)) {
            kind = CHK_DUPLICATE;
        }
        if (kind == CHK_RIGHT && score > above) {
            kind = CHK_UNSORTED;
        }
        if (kind != CHK_RIGHT) {
            break;
        }
        above = score;
    }
    g_hash_table_destroy(seen);
    return kind;
}

static int
chk_compare_scores(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left < right) - (left > right);
}

static void
chk_add_scores(const struct chk_answer *answer, uint32_t shard, GArray *scores)
{
    struct sih_hit hits[SIH_PER_SHARD];
    if (chk_is_missing(answer, shard)) {
        return;
    }
    sih_shard(answer->snapshot, shard, answer->query->text, hits);
    for (uint32_t n = 0; n < SIH_PER_SHARD; n++) {
        g_array_append_val(scores, hits[n].score);
    }
    sih_clear(hits, SIH_PER_SHARD);
}

/*
 * Compares with the best hits of all shards that answered. Each hit is known
 * to be genuine and there once, so equal scores decide; the order of hits with
 * one score is free.
 */
static enum chk_kind
chk_best(const struct chk_answer *answer)
{
    GArray *scores = g_array_new(FALSE, FALSE, sizeof(int64_t));
    if (answer->has_lone_shard) {
        chk_add_scores(answer, answer->lone_shard, scores);
    }
    else if (answer->query->key == NULL) {
        for (uint32_t shard = 0; shard < answer->shards; shard++) {
            chk_add_scores(answer, shard, scores);
        }
    }
    /* With a key and no hit the shard is unknown; a hit must be there. */
    bool is_unknown = answer->query->key != NULL && !answer->has_lone_shard;
    bool is_right = !is_unknown || answer->missing_count > 0;
    size_t expected = MIN(scores->len, (size_t)answer->query->limit);
    is_right = is_right && json_array_size(answer->hits) == expected;
    g_array_sort(scores, chk_compare_scores);
    for (size_t i = 0; is_right && i < expected; i++) {
        int64_t score = 0;
        chk_read_hit(json_array_get(answer->hits, i), &score);
        is_right = score == g_array_index(scores, int64_t, i);
    }
    g_array_free(scores, TRUE);
    return is_right ? CHK_RIGHT : CHK_HITS;
}

static enum chk_kind
chk_answer(struct chk *checker, struct chk_answer *answer, const json_t *body)
{
    enum chk_kind kind = chk_read(answer, body);
    if (kind == CHK_RIGHT) {
        kind = chk_layout(checker, answer);
    }
    if (kind == CHK_RIGHT) {
        chk_find_lone_shard(answer);
        kind = chk_coverage(answer);
    }
    if (kind == CHK_RIGHT) {
        kind = chk_hits(answer);
    }
    return kind == CHK_RIGHT ? chk_best(answer) : kind;
}

struct chk_result
chk_search(struct chk *checker, const struct chk_query *query,
           const char *body, size_t body_bytes)
{
    json_t *parsed = json_loadb(body, body_bytes, 0, NULL);
    if (parsed == NULL) {
        return (struct chk_result){.wrong = CHK_BAD_JSON};
    }
    struct chk_answer answer = {
        .query = query,
        .missing = g_hash_table_new(g_direct_hash, g_direct_equal),
    };
    struct chk_result result = {
        .wrong = chk_answer(checker, &answer, parsed),
        .is_complete = answer.is_complete,
        .coverage = answer.coverage,
    };
    g_hash_table_destroy(answer.missing);
    json_decref(parsed);
    return result;
}

enum chk_kind
chk_order(const char *id, const char *body, size_t body_bytes)
{
    json_t *parsed = json_loadb(body, body_bytes, 0, NULL);
    if (parsed == NULL) {
        return CHK_BAD_JSON;
    }
    json_decref(parsed);
    char *quoted = g_strdup_printf("\"%s\"", id);
    bool is_named = g_strstr_len(body, (gssize)body_bytes, quoted) != NULL;
    g_free(quoted);
    return is_named ? CHK_RIGHT : CHK_ORDER;
}

static bool
chk_read_run(const json_t *body, enum rc_run *out)
{
    const char *name = json_string_value(json_object_get(body, "run"));
    for (int run = RC_RUN_NO; name != NULL && run <= RC_RUN_YES; run++) {
        if (strcmp(rc_run_name((enum rc_run)run), name) == 0) {
            *out = (enum rc_run)run;
            return true;
        }
    }
    return false;
}

enum chk_kind
chk_refusal(int status, const char *body, size_t body_bytes,
            struct chk_refusal *out)
{
    json_t *parsed = json_loadb(body, body_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(parsed, "name"));
    int64_t code = json_integer_value(json_object_get(parsed, "code"));
    out->rc = name == NULL ? 1 : rc_from_name(name);
    bool has_run = chk_read_run(parsed, &out->run);
    json_decref(parsed);
    if (out->rc >= 0 || code != out->rc || !has_run) {
        return CHK_REFUSAL;
    }
    return rc_http_status(out->rc) == status ? CHK_RIGHT : CHK_STATUS;
}
