#include <string.h>

#include "common/rc.h"
#include "load/pool.h"

#define POL_BODY_MAX_BYTES ((size_t)4 * 1024 * 1024)

struct pol {
    uv_loop_t *loop;
    uint32_t max_per_entry;
    GHashTable *entries; /* address -> struct pol_entry */
};

struct pol_entry {
    struct pol *pool;
    char *address;
    GQueue idle;    /* struct pol_conn, last used first */
    GQueue waiting; /* struct pol_ask, oldest first */
    uint32_t open;  /* all connections, with those being opened */
    uint32_t opening;
};

struct pol_conn {
    struct pol_entry *entry;
    struct hcl_conn *http;
};

struct pol *
pol_new(uv_loop_t *loop, uint32_t max_per_entry)
{
    struct pol *pool = g_new0(struct pol, 1);
    pool->loop = loop;
    pool->max_per_entry = max_per_entry;
    pool->entries = g_hash_table_new(g_str_hash, g_str_equal);
    return pool;
}

static struct pol_entry *
pol_entry_get(struct pol *pool, const char *address)
{
    struct pol_entry *entry = g_hash_table_lookup(pool->entries, address);
    if (entry == NULL) {
        entry = g_new0(struct pol_entry, 1);
        entry->pool = pool;
        entry->address = g_strdup(address);
        g_queue_init(&entry->idle);
        g_queue_init(&entry->waiting);
        g_hash_table_insert(pool->entries, entry->address, entry);
    }
    return entry;
}

static void
pol_answer(struct pol_ask *ask, struct pol_conn *conn)
{
    pol_cancel(ask);
    ask->ready(conn, ask->ctx);
}

static void
pol_close(struct pol_conn *conn)
{
    conn->entry->open -= 1;
    hcl_close(conn->http);
    g_free(conn);
}

static void pol_open_more(struct pol_entry *entry);

static void
pol_hand_out(struct pol_conn *conn)
{
    struct pol_entry *entry = conn->entry;
    if (entry->waiting.length > 0) {
        pol_answer(entry->waiting.head->data, conn);
        return;
    }
    g_queue_push_head(&entry->idle, conn);
}

static void
pol_on_connected(struct hcl_conn *http, int rc, void *ctx)
{
    struct pol_conn *conn = ctx;
    struct pol_entry *entry = conn->entry;
    entry->opening -= 1;
    if (rc == RC_OK) {
        pol_hand_out(conn);
        return;
    }
    pol_close(conn);
    if (entry->waiting.length > 0) {
        pol_answer(entry->waiting.head->data, NULL);
    }
    pol_open_more(entry);
}

/* The entry closed an idle connection, which is no error. */
static void
pol_on_lost(struct hcl_conn *http, void *ctx)
{
    struct pol_conn *conn = ctx;
    g_queue_remove(&conn->entry->idle, conn);
    pol_close(conn);
}

static void
pol_open_more(struct pol_entry *entry)
{
    while (entry->opening < entry->waiting.length &&
           entry->open < entry->pool->max_per_entry) {
        struct pol_conn *conn = g_new0(struct pol_conn, 1);
        conn->entry = entry;
        if (hcl_connect(entry->pool->loop, entry->address, POL_BODY_MAX_BYTES,
                        pol_on_connected, pol_on_lost, conn,
                        &conn->http) != RC_OK) {
            g_free(conn);
            pol_answer(entry->waiting.head->data, NULL);
            continue;
        }
        entry->open += 1;
        entry->opening += 1;
    }
}

void
pol_get(struct pol *pool, const char *address, struct pol_ask *ask,
        pol_ready_cb ready, void *ctx)
{
    struct pol_entry *entry = pol_entry_get(pool, address);
    ask->ready = ready;
    ask->ctx = ctx;
    struct pol_conn *idle = g_queue_pop_head(&entry->idle);
    if (idle != NULL) {
        ready(idle, ctx);
        return;
    }
    ask->entry = entry;
    ask->link = (GList){.data = ask};
    g_queue_push_tail_link(&entry->waiting, &ask->link);
    pol_open_more(entry);
}

void
pol_cancel(struct pol_ask *ask)
{
    if (ask->entry != NULL) {
        g_queue_unlink(&ask->entry->waiting, &ask->link);
        ask->entry = NULL;
    }
}

struct hcl_conn *
pol_http(struct pol_conn *conn)
{
    return conn->http;
}

void
pol_put(struct pol_conn *conn)
{
    pol_hand_out(conn);
}

void
pol_drop(struct pol_conn *conn)
{
    struct pol_entry *entry = conn->entry;
    pol_close(conn);
    pol_open_more(entry);
}
