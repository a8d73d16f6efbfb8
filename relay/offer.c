#include <string.h>

#include "relay/relay.h"
#include "common/rc.h"

/* An entry sends something at least every 500 ms. */
#define OFR_PEER_US 2000000

/* An entry in touch with this relay. */
struct rly_peer {
    struct zsk_peer peer;
    int64_t heard_us;
};

static gint
ofr_compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static bool
ofr_has_version(const GArray *versions, const struct msg_version *version)
{
    for (guint i = 0; i < versions->len; i++) {
        const struct msg_version *known =
            &g_array_index(versions, struct msg_version, i);
        if (known->version == version->version &&
            known->shard == version->shard) {
            return true;
        }
    }
    return false;
}

static gint
ofr_compare_versions(gconstpointer a, gconstpointer b)
{
    const struct msg_version *left = a;
    const struct msg_version *right = b;
    if (left->version != right->version) {
        return left->version < right->version ? -1 : 1;
    }
    return (left->shard > right->shard) - (left->shard < right->shard);
}

/* What the searchers that are in service and answer serve. */
static GArray *
ofr_versions(const struct ins *ins, int64_t now_us)
{
    GArray *versions = g_array_new(FALSE, FALSE, sizeof(struct msg_version));
    for (guint i = 0; i < ins->searchers->len; i++) {
        const struct sch *sch = g_ptr_array_index(ins->searchers, i);
        if (!sch_is_offered(sch, now_us)) {
            continue;
        }
        for (uint32_t k = 0; k < sch->status.version_count; k++) {
            if (!ofr_has_version(versions, &sch->status.versions[k])) {
                g_array_append_val(versions, sch->status.versions[k]);
            }
        }
    }
    g_array_sort(versions, ofr_compare_versions);
    return versions;
}

static void
ofr_instance_clear(gpointer data)
{
    struct msg_offer_instance *offered = data;
    g_free(offered->versions);
}

static GArray *
ofr_instances(const struct rly *rly, int64_t now_us)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct msg_offer_instance));
    g_array_set_clear_func(out, ofr_instance_clear);
    GList *keys = g_hash_table_get_keys(rly->instances);
    keys = g_list_sort(keys, ofr_compare_keys);
    for (const GList *item = keys; item != NULL; item = item->next) {
        const struct ins *ins =
            g_hash_table_lookup(rly->instances, item->data);
        if (!ins_is_active(ins, now_us)) {
            continue;
        }
        GArray *versions = ofr_versions(ins, now_us);
        size_t version_count = versions->len;
        struct msg_offer_instance offered = {
            .service = ins->service,
            .instance = ins->name,
            .epoch = ins->epoch,
            .version_count = version_count,
            .versions = (struct msg_version *)g_array_free(versions, FALSE),
        };
        g_array_append_val(out, offered);
    }
    g_list_free(keys);
    return out;
}

static void
ofr_encode(const struct rly *rly, const GArray *instances,
           msgpack_sbuffer *out)
{
    const struct msg_offer offer = {
        .machine = rly->machine,
        .start = rly->start,
        .seq = rly->offer_seq,
        .instances = (struct msg_offer_instance *)instances->data,
        .instance_count = instances->len,
    };
    msgpack_sbuffer_init(out);
    (void)msg_encode(MSG_OFFER, &offer, out);
}

/* Keeps the encoded offer if it differs from the last one. */
static bool
ofr_update(struct rly *rly, const GArray *instances)
{
    msgpack_sbuffer buffer;
    ofr_encode(rly, instances, &buffer);
    GByteArray *last = rly->offered;
    bool is_same = last->len == buffer.size &&
                   memcmp(last->data, buffer.data, buffer.size) == 0;
    if (!is_same) {
        msgpack_sbuffer_destroy(&buffer);
        rly->offer_seq += 1;
        ofr_encode(rly, instances, &buffer);
        g_byte_array_set_size(last, 0);
        g_byte_array_append(last, (const guint8 *)buffer.data,
                            (guint)buffer.size);
    }
    msgpack_sbuffer_destroy(&buffer);
    return !is_same;
}

/* When what is offered now may end without an event. */
static int64_t
ofr_until_us(const struct rly *rly, int64_t now_us)
{
    if (!rly_has_lease(rly, now_us)) {
        return INT64_MAX;
    }
    int64_t until_us = rly->lease_until_us;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct ins *ins = value;
        for (guint i = 0; i < ins->searchers->len; i++) {
            const struct sch *sch = g_ptr_array_index(ins->searchers, i);
            if (sch_is_offered(sch, now_us)) {
                until_us = MIN(until_us, sch->answered_us + SCH_LOST_US);
            }
        }
    }
    return until_us;
}

static void
ofr_send(const struct rly *rly, const struct zsk_peer *peer)
{
    cnt_add(rly->counters, "offers_total", NULL);
    rly->calls->send_offer(peer, rly->offered->data, rly->offered->len,
                           rly->ctx);
}

static void
ofr_send_all(const struct rly *rly, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rly_peer *known = value;
        if (now_us - known->heard_us <= OFR_PEER_US) {
            ofr_send(rly, &known->peer);
        }
    }
}

bool
rly_offer_if_changed(struct rly *rly, int64_t now_us)
{
    GArray *instances = ofr_instances(rly, now_us);
    bool is_changed = ofr_update(rly, instances);
    g_array_free(instances, TRUE);
    rly->offer_until_us = ofr_until_us(rly, now_us);
    if (is_changed) {
        ofr_send_all(rly, now_us);
    }
    return is_changed;
}

void
rly_note_peer(struct rly *rly, const struct zsk_peer *peer, int64_t now_us)
{
    GBytes *key = g_bytes_new_static(peer->id, peer->id_bytes);
    struct rly_peer *known = g_hash_table_lookup(rly->peers, key);
    if (known == NULL) {
        known = g_new0(struct rly_peer, 1);
        known->peer = *peer;
        g_hash_table_insert(rly->peers, g_bytes_new(peer->id, peer->id_bytes),
                            known);
    }
    g_bytes_unref(key);
    known->heard_us = now_us;
}

static void
ofr_confirm(const struct rly *rly, const struct zsk_peer *peer)
{
    const struct msg_confirm_offer confirm = {
        .relay_start = rly->start,
        .offer_seq = rly->offer_seq,
    };
    cnt_add(rly->counters, "offers_confirmed_total", NULL);
    rly->calls->send_entry(peer, MSG_CONFIRM_OFFER, &confirm, rly->ctx);
}

void
rly_on_hello(struct rly *rly, const struct zsk_peer *peer,
             const struct msg_hello *hello, int64_t now_us)
{
    /* A change goes to all, and so to this entry as well. */
    if (now_us >= rly->offer_until_us && rly_offer_if_changed(rly, now_us)) {
        return;
    }
    if (hello->relay_start == rly->start &&
        hello->offer_seq == rly->offer_seq) {
        ofr_confirm(rly, peer);
    }
    else {
        ofr_send(rly, peer);
    }
}

void
rly_forget_peers(struct rly *rly, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, rly->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rly_peer *known = value;
        if (now_us - known->heard_us > OFR_PEER_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
