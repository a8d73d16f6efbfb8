#include <glib.h>
#include <string.h>

#include "agent/subscriber.h"
#include "common/log.h"
#include "common/rc.h"

struct sub_one {
    struct zsk_peer client;
    bool is_relay;
    uint64_t start;
    int64_t heard_us;
    int64_t state_us;  /* when the last STATE was sent */
    uint64_t revision; /* the last one sent with its document */
    int64_t ready_us;  /* when the first document was sent, 0 for never */
    bool has_state;    /* the newest STATE went out */
    bool is_stopping;
    int64_t unreached_us; /* since when nothing could be sent, 0: it can */
};

struct sub {
    sub_send_cb send;
    void *ctx;
    struct cnt_set *counters;
    GPtrArray *ones;
    int64_t relay_lost_us;
    uint64_t relay_start; /* of the newest relay, 0 before the first */
    uint64_t seq;
};

struct sub *
sub_new(sub_send_cb send, void *ctx, struct cnt_set *counters)
{
    struct sub *subscribers = g_new0(struct sub, 1);
    subscribers->send = send;
    subscribers->ctx = ctx;
    subscribers->counters = counters;
    subscribers->ones = g_ptr_array_new_with_free_func(g_free);
    subscribers->relay_lost_us = INT64_MIN / 2;
    return subscribers;
}

void
sub_free(struct sub *subscribers)
{
    if (subscribers == NULL) {
        return;
    }
    g_ptr_array_free(subscribers->ones, TRUE);
    g_free(subscribers);
}

static struct sub_one *
sub_at(const struct sub *subscribers, guint i)
{
    return g_ptr_array_index(subscribers->ones, i);
}

static struct sub_one *
sub_find_role(const struct sub *subscribers, bool is_relay)
{
    for (guint i = 0; i < subscribers->ones->len; i++) {
        if (sub_at(subscribers, i)->is_relay == is_relay) {
            return sub_at(subscribers, i);
        }
    }
    return NULL;
}

static bool
sub_is_client(const struct sub_one *one, const struct zsk_peer *client)
{
    return one->client.id_bytes == client->id_bytes &&
           memcmp(one->client.id, client->id, client->id_bytes) == 0;
}

bool
sub_on_subscribe(struct sub *subscribers, int64_t now_us,
                 const struct prs_from *from,
                 const struct msg_subscribe *message)
{
    bool is_relay = strcmp(message->role, "relay") == 0;
    if (!is_relay && strcmp(message->role, "entry") != 0) {
        cnt_add(subscribers->counters, "messages_dropped_total", "role");
        return false;
    }
    struct sub_one *one = sub_find_role(subscribers, is_relay);
    bool is_replaced = is_relay && subscribers->relay_start != 0 &&
                       subscribers->relay_start != message->start;
    if (is_relay) {
        subscribers->relay_start = message->start;
    }
    if (one == NULL || one->start != message->start ||
        !sub_is_client(one, from->peer)) {
        if (one == NULL) {
            one = g_new0(struct sub_one, 1);
            g_ptr_array_add(subscribers->ones, one);
        }
        *one = (struct sub_one){
            .client = *from->peer,
            .is_relay = is_relay,
            .start = message->start,
            .state_us = INT64_MIN / 2,
        };
        log_info("subscriber", "subscribed role=%s", message->role);
    }
    one->heard_us = now_us;
    return is_replaced;
}

void
sub_on_stopping(struct sub *subscribers, const struct prs_from *from,
                const struct msg_stopping *message)
{
    for (guint i = 0; i < subscribers->ones->len; i++) {
        struct sub_one *one = sub_at(subscribers, i);
        if (sub_is_client(one, from->peer)) {
            one->is_stopping = true;
            log_info("subscriber", "stopping role=%s", message->role);
        }
    }
}

void
sub_tick(struct sub *subscribers, int64_t now_us)
{
    for (guint i = subscribers->ones->len; i > 0; i--) {
        const struct sub_one *one = sub_at(subscribers, i - 1);
        bool is_unreached = one->unreached_us != 0 &&
                            now_us - one->unreached_us >= SUB_UNREACHED_US;
        if (!is_unreached && now_us - one->heard_us < SUB_SILENCE_US) {
            continue;
        }
        log_warn("subscriber", "dropped role=%s reason=%s",
                 one->is_relay ? "relay" : "entry",
                 is_unreached ? "unreachable" : "silent");
        cnt_add(subscribers->counters, "subscribers_dropped_total",
                one->is_relay ? "relay" : "entry");
        if (one->is_relay) {
            subscribers->relay_lost_us =
                is_unreached ? one->unreached_us : now_us;
        }
        g_ptr_array_remove_index(subscribers->ones, i - 1);
    }
}

enum sub_relay
sub_relay_state(const struct sub *subscribers)
{
    const struct sub_one *relay = sub_find_role(subscribers, true);
    if (relay == NULL) {
        return SUB_RELAY_NONE;
    }
    return relay->is_stopping ? SUB_RELAY_STOPPING : SUB_RELAY_UP;
}

bool
sub_is_entry_ready(const struct sub *subscribers, int64_t now_us)
{
    const struct sub_one *entry = sub_find_role(subscribers, false);
    return entry != NULL && !entry->is_stopping && entry->ready_us != 0 &&
           now_us - entry->ready_us >= SUB_ENTRY_READY_US;
}

int64_t
sub_relay_lost_us(const struct sub *subscribers)
{
    return subscribers->relay_lost_us;
}

bool
sub_is_any_stopping(const struct sub *subscribers, int64_t now_us)
{
    for (guint i = 0; i < subscribers->ones->len; i++) {
        const struct sub_one *one = sub_at(subscribers, i);
        bool is_gone = one->unreached_us != 0 &&
                       now_us - one->unreached_us >= SUB_GONE_US;
        if (one->is_stopping && !is_gone) {
            return true;
        }
    }
    return false;
}

bool
sub_is_due(const struct sub *subscribers, int64_t now_us)
{
    for (guint i = 0; i < subscribers->ones->len; i++) {
        const struct sub_one *one = sub_at(subscribers, i);
        if (!one->has_state || now_us - one->state_us >= SUB_STATE_US) {
            return true;
        }
    }
    return false;
}

static int
sub_send(struct sub *subscribers, struct sub_one *one, int64_t now_us,
         enum msg_type type, const void *body)
{
    int rc = subscribers->send(subscribers->ctx, &one->client, type, body);
    if (rc == RC_OK) {
        one->unreached_us = 0;
    }
    else if (one->unreached_us == 0) {
        one->unreached_us = now_us;
    }
    return rc;
}

void
sub_send_state(struct sub *subscribers, int64_t now_us,
               struct msg_state *state)
{
    const struct msg_bin document = state->config;
    subscribers->seq += 1;
    state->seq = subscribers->seq;
    for (guint i = 0; i < subscribers->ones->len; i++) {
        struct sub_one *one = sub_at(subscribers, i);
        state->config = document;
        if (one->revision == state->revision) {
            state->config = (struct msg_bin){.bytes = 0};
        }
        int rc = sub_send(subscribers, one, now_us, MSG_STATE, state);
        one->has_state = rc == RC_OK;
        if (rc == RC_OK) {
            one->state_us = now_us;
            one->revision = state->revision;
            if (one->ready_us == 0 && one->revision > 0) {
                one->ready_us = now_us;
            }
        }
    }
}

void
sub_send_lease(struct sub *subscribers, int64_t now_us,
               const struct msg_lease *lease)
{
    for (guint i = 0; i < subscribers->ones->len; i++) {
        struct sub_one *one = sub_at(subscribers, i);
        if (one->has_state) {
            /* After a failure STATE is tried until it goes out. */
            one->has_state =
                sub_send(subscribers, one, now_us, MSG_LEASE, lease) == RC_OK;
        }
    }
}
