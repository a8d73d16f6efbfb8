#include <glib.h>
#include <jansson.h>

#include "common/invariant.h"
#include "common/net.h"
#include "common/rc.h"
#include "load/entries.h"

#define ENT_NEVER_US (-(INT64_C(1) << 60))

static int
ent_list_add(struct ent_list *list, const char *address)
{
    struct sockaddr_in parsed;
    if (address == NULL || list->count == ENT_ADDRESSES_MAX ||
        net_parse(address, &parsed) != RC_OK) {
        return RC_INVALID;
    }
    list->items[list->count++] = (struct ent_address){
        .address = g_intern_string(address),
        .failed_us = ENT_NEVER_US,
    };
    return RC_OK;
}

int
ent_init(struct ent *entries, const char *seeds)
{
    *entries = (struct ent){.refresh_us = ENT_NEVER_US};
    char **items = g_strsplit(seeds, ",", -1);
    int rc = items[0] == NULL ? RC_INVALID : RC_OK;
    for (char **item = items; rc == RC_OK && *item != NULL; item++) {
        rc = ent_list_add(&entries->seeds, *item);
    }
    g_strfreev(items);
    entries->current = entries->seeds;
    return rc;
}

static bool
ent_is_avoided(const struct ent_address *item, int64_t now_us)
{
    return now_us - item->failed_us < ENT_AVOID_US;
}

/* The next address of the list that has not failed lately, or NULL. */
static const char *
ent_list_pick(const struct ent_list *list, uint32_t turn, const char *avoid,
              int64_t now_us)
{
    for (uint32_t i = 0; i < list->count; i++) {
        const struct ent_address *item =
            &list->items[(turn + i) % list->count];
        if (item->address != avoid && !ent_is_avoided(item, now_us)) {
            return item->address;
        }
    }
    return NULL;
}

const char *
ent_pick(struct ent *entries, const char *avoid, int64_t now_us)
{
    uint32_t turn = entries->next++;
    const struct ent_list *lists[] = {&entries->current, &entries->seeds};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        const char *address = ent_list_pick(lists[i], turn, avoid, now_us);
        if (address != NULL) {
            return address;
        }
    }
    CH_INVARIANT(entries->current.count > 0);
    return entries->current.items[turn % entries->current.count].address;
}

static void
ent_list_failed(struct ent_list *list, const char *address, int64_t now_us)
{
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].address == address) {
            list->items[i].failed_us = now_us;
        }
    }
}

void
ent_failed(struct ent *entries, const char *address, int64_t now_us)
{
    ent_list_failed(&entries->current, address, now_us);
    ent_list_failed(&entries->seeds, address, now_us);
}

bool
ent_is_due(struct ent *entries, int64_t now_us, const char **address)
{
    if (entries->is_asking || now_us < entries->refresh_us) {
        return false;
    }
    entries->is_asking = true;
    const struct ent_list *lists[] = {&entries->current, &entries->seeds};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        *address = ent_list_pick(lists[i], entries->next, NULL, now_us);
        if (*address != NULL) {
            return true;
        }
    }
    CH_INVARIANT(entries->seeds.count > 0);
    *address =
        entries->seeds.items[entries->next++ % entries->seeds.count].address;
    return true;
}

static int64_t
ent_known_failure_us(const struct ent *entries, const char *address)
{
    for (uint32_t i = 0; i < entries->current.count; i++) {
        if (entries->current.items[i].address == address) {
            return entries->current.items[i].failed_us;
        }
    }
    return ENT_NEVER_US;
}

static int
ent_parse(const json_t *body, struct ent_list *out, int64_t *ttl_ms)
{
    const json_t *list = json_object_get(body, "entries");
    size_t i;
    json_t *item;
    *ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
    json_array_foreach(list, i, item)
    {
        const char *address =
            json_is_object(item)
                ? json_string_value(json_object_get(item, "address"))
                : json_string_value(item);
        if (ent_list_add(out, address) != RC_OK) {
            return RC_BAD_REPLY;
        }
    }
    return out->count == 0 || *ttl_ms <= 0 ? RC_BAD_REPLY : RC_OK;
}

int
ent_refreshed(struct ent *entries, const char *body, int64_t body_bytes,
              int64_t now_us)
{
    struct ent_list fresh = {.count = 0};
    int64_t ttl_ms = 0;
    json_t *parsed = json_loadb(body, (size_t)body_bytes, 0, NULL);
    int rc = ent_parse(parsed, &fresh, &ttl_ms);
    json_decref(parsed);
    entries->is_asking = false;
    if (rc != RC_OK) {
        entries->refresh_us = now_us + ENT_RETRY_US;
        return rc;
    }
    for (uint32_t i = 0; i < fresh.count; i++) {
        fresh.items[i].failed_us =
            ent_known_failure_us(entries, fresh.items[i].address);
    }
    entries->current = fresh;
    entries->refresh_us = now_us + ttl_ms * 1000;
    return RC_OK;
}

void
ent_refresh_failed(struct ent *entries, const char *address, int64_t now_us)
{
    ent_failed(entries, address, now_us);
    entries->is_asking = false;
    entries->refresh_us = now_us + ENT_RETRY_US;
}
