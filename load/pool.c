#include <string.h>

#include "common/rc.h"
#include "load/pool.h"

#define POOL_BODY_MAX_BYTES ((size_t)4 * 1024 * 1024)
/* Memory of the answers that are being read on all connections. */
#define POOL_ANSWERS_MAX_BYTES (256 * 1024 * 1024)

struct pool {
    uv_loop_t *loop;
    uint32_t max_per_address;
    struct resource_share share;
    GHashTable *entries; /* address -> struct pool_entry */
};

/* The connections to one address. */
struct pool_entry {
    struct pool *pool;
    char *address;
    GQueue idle;    /* struct pool_conn, most recently used first */
    GQueue waiting; /* struct pool_waiter, oldest first */
    uint32_t open;  /* all connections, also those being opened */
    uint32_t opening;
};

struct pool_conn {
    struct pool_entry *entry;
    struct http_client_conn *http;
};

struct pool *
pool_new(uv_loop_t *loop, uint32_t max_per_address)
{
    struct pool *pool = g_new0(struct pool, 1);
    pool->loop = loop;
    pool->max_per_address = max_per_address;
    pool->share = (struct resource_share){
        .connection_max = UINT32_MAX,
        .bytes_max = POOL_ANSWERS_MAX_BYTES,
    };
    pool->entries = g_hash_table_new(g_str_hash, g_str_equal);
    return pool;
}

static struct pool_entry *
pool_entry_get(struct pool *pool, const char *address)
{
    struct pool_entry *entry = g_hash_table_lookup(pool->entries, address);
    if (entry == NULL) {
        entry = g_new0(struct pool_entry, 1);
        entry->pool = pool;
        entry->address = g_strdup(address);
        g_queue_init(&entry->idle);
        g_queue_init(&entry->waiting);
        g_hash_table_insert(pool->entries, entry->address, entry);
    }
    return entry;
}

/* Calls back the waiter; `conn` is NULL if no connection could be opened. */
static void
pool_wake(struct pool_waiter *waiter, struct pool_conn *conn)
{
    pool_cancel(waiter);
    waiter->ready(conn, waiter->ctx);
}

static void
pool_close(struct pool_conn *conn)
{
    conn->entry->open -= 1;
    http_client_close(conn->http);
    g_free(conn);
}

static void pool_open_more(struct pool_entry *entry);

/* Passes a usable connection to the first waiter, or keeps it idle. */
static void
pool_assign(struct pool_conn *conn)
{
    struct pool_entry *entry = conn->entry;
    if (entry->waiting.length > 0) {
        pool_wake(entry->waiting.head->data, conn);
        return;
    }
    g_queue_push_head(&entry->idle, conn);
}

static void
pool_on_connected(struct http_client_conn *http, int rc, void *ctx)
{
    struct pool_conn *conn = ctx;
    struct pool_entry *entry = conn->entry;
    entry->opening -= 1;
    if (rc == RC_OK) {
        pool_assign(conn);
        return;
    }
    pool_close(conn);
    if (entry->waiting.length > 0) {
        pool_wake(entry->waiting.head->data, NULL);
    }
    pool_open_more(entry);
}

/* The gateway closed an idle connection, which is no error. */
static void
pool_on_lost(struct http_client_conn *http, void *ctx)
{
    struct pool_conn *conn = ctx;
    g_queue_remove(&conn->entry->idle, conn);
    pool_close(conn);
}

/* Opens a connection for each waiter, up to the limit of the address. */
static void
pool_open_more(struct pool_entry *entry)
{
    while (entry->opening < entry->waiting.length &&
           entry->open < entry->pool->max_per_address) {
        struct pool_conn *conn = g_new0(struct pool_conn, 1);
        conn->entry = entry;
        conn->http = http_client_connect(
            entry->pool->loop, entry->address, POOL_BODY_MAX_BYTES,
            &entry->pool->share, pool_on_connected, pool_on_lost, conn);
        entry->open += 1;
        entry->opening += 1;
    }
}

void
pool_acquire(struct pool *pool, const char *address,
             struct pool_waiter *waiter, pool_ready_cb ready, void *ctx)
{
    struct pool_entry *entry = pool_entry_get(pool, address);
    waiter->ready = ready;
    waiter->ctx = ctx;
    struct pool_conn *idle = g_queue_pop_head(&entry->idle);
    if (idle != NULL) {
        ready(idle, ctx);
        return;
    }
    waiter->entry = entry;
    waiter->link = (GList){.data = waiter};
    g_queue_push_tail_link(&entry->waiting, &waiter->link);
    pool_open_more(entry);
}

void
pool_cancel(struct pool_waiter *waiter)
{
    if (waiter->entry != NULL) {
        g_queue_unlink(&waiter->entry->waiting, &waiter->link);
        waiter->entry = NULL;
    }
}

struct http_client_conn *
pool_http(struct pool_conn *conn)
{
    return conn->http;
}

void
pool_release(struct pool_conn *conn)
{
    pool_assign(conn);
}

void
pool_discard(struct pool_conn *conn)
{
    struct pool_entry *entry = conn->entry;
    pool_close(conn);
    pool_open_more(entry);
}
