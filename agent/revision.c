#include <glib.h>
#include <string.h>

#include "agent/revision.h"
#include "common/invariant.h"
#include "common/rc.h"

#define REV_ASK_US (INT64_C(2) * 1000 * 1000)
#define REV_PULL_US (INT64_C(200) * 1000)

struct rev {
    int64_t started_us;
    rev_parse_cb parse;
    struct cnt_set *counters;
    uint64_t number;
    uint64_t digest;
    char *document;
    size_t document_bytes;
    struct cfg *cfg;
    bool has_store_answered;
    bool has_peer_answered;
    uint64_t peer_number; /* highest one that a peer named */
    bool is_ready;
    int64_t pulled_us;
    uint64_t pulled_number; /* the one that was asked for last */
};

struct rev *
rev_new(int64_t now_us, rev_parse_cb parse, struct cnt_set *counters)
{
    struct rev *revision = g_new0(struct rev, 1);
    revision->started_us = now_us;
    revision->parse = parse;
    revision->counters = counters;
    revision->document = g_strdup("");
    revision->pulled_us = now_us - REV_PULL_US;
    return revision;
}

void
rev_free(struct rev *revision)
{
    if (revision == NULL) {
        return;
    }
    cfg_free(revision->cfg);
    g_free(revision->document);
    g_free(revision);
}

static int
rev_refuse(struct rev *revision, int rc, const char *why, char **error)
{
    cnt_add(revision->counters, "config_refused_total", rc_name(rc));
    if (error != NULL) {
        *error = g_strdup(why);
    }
    return rc;
}

static void
rev_adopt(struct rev *revision, struct cfg *cfg, uint64_t digest,
          const char *json, size_t json_bytes)
{
    CH_INVARIANT(cfg->revision > revision->number);
    cfg_free(revision->cfg);
    g_free(revision->document);
    revision->cfg = cfg;
    revision->number = cfg->revision;
    revision->digest = digest;
    revision->document = g_strndup(json, json_bytes);
    revision->document_bytes = json_bytes;
    cnt_add(revision->counters, "config_adopted_total", NULL);
}

int
rev_offer(struct rev *revision, uint64_t number, uint64_t digest,
          const char *json, size_t json_bytes, char **error)
{
    if (error != NULL) {
        *error = NULL;
    }
    uint64_t actual = cfg_digest(json, json_bytes);
    if (number <= revision->number) {
        if (number == revision->number && actual != revision->digest) {
            cnt_add(revision->counters, "config_conflicts_total", NULL);
        }
        return rev_refuse(revision, RC_STALE,
                          "revision is not newer than the one in force",
                          error);
    }
    if (digest != 0 && digest != actual) {
        return rev_refuse(revision, RC_INVALID,
                          "digest does not belong to the document", error);
    }
    struct cfg *cfg = NULL;
    char *why = NULL;
    int rc = revision->parse(json, json_bytes, &cfg, &why);
    if (rc != RC_OK) {
        (void)rev_refuse(revision, rc, why, error);
        g_free(why);
        return rc;
    }
    if (cfg->revision != number) {
        cfg_free(cfg);
        return rev_refuse(revision, RC_INVALID,
                          "document holds another revision", error);
    }
    rev_adopt(revision, cfg, actual, json, json_bytes);
    return RC_OK;
}

uint64_t
rev_number(const struct rev *revision)
{
    return revision->number;
}

uint64_t
rev_digest(const struct rev *revision)
{
    return revision->digest;
}

const char *
rev_document(const struct rev *revision, size_t *bytes)
{
    *bytes = revision->document_bytes;
    return revision->document;
}

const struct cfg *
rev_cfg(const struct rev *revision)
{
    return revision->cfg;
}

void
rev_on_store(struct rev *revision)
{
    revision->has_store_answered = true;
}

void
rev_on_peer(struct rev *revision, uint64_t number)
{
    revision->has_peer_answered = true;
    revision->peer_number = MAX(revision->peer_number, number);
}

bool
rev_is_ready(struct rev *revision, int64_t now_us)
{
    if (revision->is_ready || revision->number == 0) {
        return revision->is_ready;
    }
    bool is_late = now_us - revision->started_us >= REV_ASK_US;
    bool is_newest = revision->peer_number <= revision->number;
    bool has_asked =
        revision->has_store_answered && revision->has_peer_answered;
    revision->is_ready = (has_asked && is_newest) || is_late;
    return revision->is_ready;
}

bool
rev_should_pull(struct rev *revision, int64_t now_us, uint64_t number)
{
    if (number <= revision->number ||
        (number <= revision->pulled_number &&
         now_us - revision->pulled_us < REV_PULL_US)) {
        return false;
    }
    revision->pulled_us = now_us;
    revision->pulled_number = number;
    return true;
}
