#include <glib.h>
#include <jansson.h>

#include "common/invariant.h"
#include "common/net.h"
#include "common/json_room.h"
#include "common/rc.h"
#include "load/entries.h"

/* Time of a failure that never happened; far from overflow. */
#define ENTRIES_NEVER_US (-(INT64_C(1) << 60))

static int
entries_list_add(struct entries_list *list, const char *address)
{
    struct sockaddr_in parsed;
    if (address == NULL || list->count == ENTRIES_ADDRESSES_MAX ||
        net_parse(address, &parsed) != RC_OK) {
        return RC_INVALID;
    }
    list->items[list->count++] = (struct entries_address){
        .address = g_intern_string(address),
        .failed_us = ENTRIES_NEVER_US,
    };
    return RC_OK;
}

int
entries_init(struct entries *entries, const char *seeds)
{
    *entries = (struct entries){.refresh_us = ENTRIES_NEVER_US};
    char **items = g_strsplit(seeds, ",", -1);
    int rc = items[0] == NULL ? RC_INVALID : RC_OK;
    for (char **item = items; rc == RC_OK && *item != NULL; item++) {
        rc = entries_list_add(&entries->seeds, *item);
    }
    g_strfreev(items);
    entries->current = entries->seeds;
    return rc;
}

static bool
entries_is_avoided(const struct entries_address *item, int64_t now_us)
{
    return now_us - item->failed_us < ENTRIES_AVOID_US;
}

/* The first address from `offset` on that is not avoided, or NULL. */
static const char *
entries_list_pick(const struct entries_list *list, uint32_t offset,
                  const char *avoid, int64_t now_us)
{
    for (uint32_t i = 0; i < list->count; i++) {
        const struct entries_address *item =
            &list->items[(offset + i) % list->count];
        if (item->address != avoid && !entries_is_avoided(item, now_us)) {
            return item->address;
        }
    }
    return NULL;
}

const char *
entries_pick(struct entries *entries, const char *avoid, int64_t now_us)
{
    uint32_t offset = entries->next_index++;
    const struct entries_list *lists[] = {&entries->current, &entries->seeds};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        const char *address =
            entries_list_pick(lists[i], offset, avoid, now_us);
        if (address != NULL) {
            return address;
        }
    }
    CH_INVARIANT(entries->current.count > 0);
    return entries->current.items[offset % entries->current.count].address;
}

static void
entries_list_mark_failed(struct entries_list *list, const char *address,
                         int64_t now_us)
{
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].address == address) {
            list->items[i].failed_us = now_us;
        }
    }
}

void
entries_mark_failed(struct entries *entries, const char *address,
                    int64_t now_us)
{
    entries_list_mark_failed(&entries->current, address, now_us);
    entries_list_mark_failed(&entries->seeds, address, now_us);
}

bool
entries_is_due(struct entries *entries, int64_t now_us, const char **address)
{
    if (entries->is_refreshing || now_us < entries->refresh_us) {
        return false;
    }
    entries->is_refreshing = true;
    const struct entries_list *lists[] = {&entries->current, &entries->seeds};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        *address =
            entries_list_pick(lists[i], entries->next_index, NULL, now_us);
        if (*address != NULL) {
            return true;
        }
    }
    CH_INVARIANT(entries->seeds.count > 0);
    *address =
        entries->seeds.items[entries->next_index++ % entries->seeds.count]
            .address;
    return true;
}

/* Last failure of the address if it is on the list, else ENTRIES_NEVER_US. */
static int64_t
entries_last_failure_us(const struct entries *entries, const char *address)
{
    for (uint32_t i = 0; i < entries->current.count; i++) {
        if (entries->current.items[i].address == address) {
            return entries->current.items[i].failed_us;
        }
    }
    return ENTRIES_NEVER_US;
}

static int
entries_parse(const json_t *body, struct entries_list *out, int64_t *ttl_ms)
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
        if (entries_list_add(out, address) != RC_OK) {
            return RC_BAD_REPLY;
        }
    }
    return out->count == 0 || *ttl_ms <= 0 ? RC_BAD_REPLY : RC_OK;
}

int
entries_apply_refresh(struct entries *entries, const char *body,
                      int64_t body_bytes, int64_t now_us)
{
    struct entries_list fresh = {.count = 0};
    int64_t ttl_ms = 0;
    json_t *parsed = json_room_load(body, (size_t)body_bytes, 0, NULL);
    int rc = entries_parse(parsed, &fresh, &ttl_ms);
    json_decref(parsed);
    entries->is_refreshing = false;
    if (rc != RC_OK) {
        entries->refresh_us = now_us + ENTRIES_RETRY_US;
        return rc;
    }
    for (uint32_t i = 0; i < fresh.count; i++) {
        fresh.items[i].failed_us =
            entries_last_failure_us(entries, fresh.items[i].address);
    }
    entries->current = fresh;
    entries->refresh_us = now_us + ttl_ms * 1000;
    return RC_OK;
}

void
entries_refresh_failed(struct entries *entries, const char *address,
                       int64_t now_us)
{
    entries_mark_failed(entries, address, now_us);
    entries->is_refreshing = false;
    entries->refresh_us = now_us + ENTRIES_RETRY_US;
}
