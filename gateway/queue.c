#include "common/invariant.h"
#include "gateway/queue.h"

void
queue_init(struct queue *queue)
{
    *queue = (struct queue){
        .lines =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
}

void
queue_clear(struct queue *queue)
{
    CH_INVARIANT(queue->count == 0);
    g_hash_table_destroy(queue->lines);
}

static struct queue_line *
queue_line_of(struct queue *queue, const char *service)
{
    struct queue_line *line = g_hash_table_lookup(queue->lines, service);
    if (line == NULL) {
        line = g_new0(struct queue_line, 1);
        g_queue_init(&line->in_time);
        g_queue_init(&line->late);
        g_hash_table_insert(queue->lines, g_strdup(service), line);
    }
    return line;
}

static GQueue *
queue_list_of(struct queue_line *line, const struct queue_item *item)
{
    return item->is_late ? &line->late : &line->in_time;
}

/* Returns the item that contains the list link. */
static struct queue_item *
queue_item_of(GList *link)
{
    /* The link is the first member. */
    return (struct queue_item *)link;
}

static void
queue_insert(struct queue_line *line, struct queue_item *item)
{
    GQueue *class = queue_list_of(line, item);
    GList *before = class->tail;
    while (before != NULL &&
           queue_item_of(before)->arrival_us > item->arrival_us) {
        before = before->prev;
    }
    if (before == NULL) {
        g_queue_push_head_link(class, &item->link);
    }
    else if (before == class->tail) {
        g_queue_push_tail_link(class, &item->link);
    }
    else {
        g_queue_insert_after_link(class, before, &item->link);
    }
}

void
queue_push(struct queue *queue, const char *service, struct queue_item *item)
{
    CH_INVARIANT(item->line == NULL);
    item->line = queue_line_of(queue, service);
    queue_insert(item->line, item);
    queue->count += 1;
}

void
queue_remove(struct queue *queue, struct queue_item *item)
{
    if (item->line == NULL) {
        return;
    }
    g_queue_unlink(queue_list_of(item->line, item), &item->link);
    item->line = NULL;
    queue->count -= 1;
}

void
queue_set_late(struct queue *queue, struct queue_item *item)
{
    struct queue_line *line = item->line;
    if (item->is_late) {
        return;
    }
    if (line != NULL) {
        g_queue_unlink(&line->in_time, &item->link);
    }
    item->is_late = true;
    if (line != NULL) {
        queue_insert(line, item);
    }
}

gpointer
queue_peek(const struct queue *queue, const char *service)
{
    const struct queue_line *line = g_hash_table_lookup(queue->lines, service);
    if (line == NULL) {
        return NULL;
    }
    const GList *first =
        line->in_time.head != NULL ? line->in_time.head : line->late.head;
    return first != NULL ? first->data : NULL;
}

uint32_t
queue_ahead_count(const struct queue *queue, const char *service,
                  int64_t arrival_us)
{
    const struct queue_line *line = g_hash_table_lookup(queue->lines, service);
    uint32_t count = 0;
    GList *link = line != NULL ? line->in_time.head : NULL;
    while (link != NULL && queue_item_of(link)->arrival_us <= arrival_us) {
        count += 1;
        link = link->next;
    }
    return count;
}

uint32_t
queue_count(const struct queue *queue, const char *service)
{
    const struct queue_line *line = g_hash_table_lookup(queue->lines, service);
    return line != NULL ? line->in_time.length + line->late.length : 0;
}

bool
queue_must_wait(const struct queue *queue, const char *service,
                const struct queue_item *item)
{
    if (item->is_late) {
        return queue_count(queue, service) > 0;
    }
    return queue_ahead_count(queue, service, item->arrival_us) > 0;
}

static gboolean
queue_is_unused(gpointer service, gpointer data, gpointer services)
{
    const struct queue_line *line = data;
    return line->in_time.length + line->late.length == 0 &&
           !g_hash_table_contains(services, service);
}

void
queue_prune(struct queue *queue, GHashTable *services)
{
    g_hash_table_foreach_remove(queue->lines, queue_is_unused, services);
}
