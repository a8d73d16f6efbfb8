#include "gateway/notice.h"

struct notice_kept {
    struct notice notice;
    int64_t started_unix_ms; /* of the process that it belongs to */
    int64_t kept_since_us;
};

bool
notice_on_leaving(struct notice *notice, int64_t now_us)
{
    if (notice->leaving_us != 0) {
        return false;
    }
    notice->leaving_us = now_us;
    return true;
}

bool
notice_on_backoff(struct notice *notice, int64_t delay_us, int64_t now_us)
{
    bool is_new = !notice_is_backing_off(notice, now_us);
    int64_t until_us = now_us + MIN(delay_us, NOTICE_BACKOFF_MAX_US);
    notice->backoff_until_us = MAX(notice->backoff_until_us, until_us);
    return is_new;
}

bool
notice_is_leaving(const struct notice *notice)
{
    return notice->leaving_us != 0;
}

bool
notice_is_backing_off(const struct notice *notice, int64_t now_us)
{
    return now_us < notice->backoff_until_us;
}

void
notice_table_init(struct notice_table *table)
{
    *table = (struct notice_table){
        .by_id =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
notice_table_clear(struct notice_table *table)
{
    g_hash_table_destroy(table->by_id);
    for (size_t i = 0; i < NOTICE_TOLD_MAX; i++) {
        g_free(table->told[i].id);
    }
}

void
notice_keep(struct notice_table *table, const char *id,
            int64_t started_unix_ms, const struct notice *notice,
            int64_t now_us)
{
    if (!notice_is_leaving(notice) && !notice_is_backing_off(notice, now_us)) {
        return;
    }
    struct notice_kept *kept = g_new(struct notice_kept, 1);
    *kept = (struct notice_kept){
        .notice = *notice,
        .started_unix_ms = started_unix_ms,
        .kept_since_us = now_us,
    };
    g_hash_table_replace(table->by_id, g_strdup(id), kept);
}

struct notice
notice_take(struct notice_table *table, const char *id,
            int64_t started_unix_ms, int64_t now_us)
{
    struct notice notice = {.leaving_us = 0};
    notice_prune(table, now_us);
    const struct notice_kept *kept = g_hash_table_lookup(table->by_id, id);
    if (kept != NULL && kept->started_unix_ms == started_unix_ms) {
        notice = kept->notice;
        g_hash_table_remove(table->by_id, id);
    }
    return notice;
}

void
notice_tell(struct notice_table *table, const char *id,
            int64_t started_unix_ms, int64_t now_us)
{
    struct notice_leaving *leaving = &table->told[table->told_next];
    table->told_next = (table->told_next + 1) % NOTICE_TOLD_MAX;
    g_free(leaving->id);
    *leaving = (struct notice_leaving){
        .id = g_strdup(id),
        .started_unix_ms = started_unix_ms,
        .learned_us = now_us,
    };
}

uint32_t
notice_to_tell(const struct notice_table *table, int64_t now_us,
               const struct notice_leaving *out[NOTICE_TOLD_MAX])
{
    uint32_t count = 0;
    for (size_t i = 0; i < NOTICE_TOLD_MAX; i++) {
        const struct notice_leaving *leaving = &table->told[i];
        if (leaving->id != NULL &&
            now_us - leaving->learned_us < NOTICE_TELL_US) {
            out[count] = leaving;
            count += 1;
        }
    }
    return count;
}

static gboolean
notice_is_expired(gpointer id, gpointer value, gpointer now)
{
    const struct notice_kept *kept = value;
    const int64_t *now_us = now;
    return *now_us - kept->kept_since_us >= NOTICE_KEEP_US;
}

void
notice_prune(struct notice_table *table, int64_t now_us)
{
    g_hash_table_foreach_remove(table->by_id, notice_is_expired, &now_us);
}
