#include <glib.h>

#include "common/rc.h"
#include "standin/searcher.h"

uint32_t
searcher_shards_of(const struct searcher *searcher, int64_t version)
{
    for (uint32_t i = 0; i < searcher->layout_count; i++) {
        if (searcher->layouts[i].version == version) {
            return searcher->layouts[i].shards;
        }
    }
    return searcher->shards;
}

bool
searcher_serves(const struct searcher *searcher, int64_t version)
{
    for (uint32_t i = 0; i < searcher->versions.count; i++) {
        if (searcher->versions.items[i] == version) {
            return searcher->shard < searcher_shards_of(searcher, version);
        }
    }
    return false;
}

json_t *
searcher_version_list(const struct searcher *searcher)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < searcher->versions.count; i++) {
        int64_t version = searcher->versions.items[i];
        if (searcher_serves(searcher, version)) {
            json_array_append_new(
                list,
                json_pack("{s:I, s:i, s:i}", "version", (json_int_t)version,
                          "shard", (int)searcher->shard, "shards",
                          (int)searcher_shards_of(searcher, version)));
        }
    }
    return list;
}

int
searcher_versions_parse(const char *text, struct searcher_versions *out)
{
    struct searcher_versions parsed = {.count = 0};
    char **items = g_strsplit(text, ",", -1);
    int rc = items[0] == NULL ? RC_BAD_FIELD : RC_OK;
    for (char **item = items; *item != NULL && rc == RC_OK; item++) {
        char *end = NULL;
        int64_t version = g_ascii_strtoll(*item, &end, 10);
        if (end == *item || *end != '\0' || version <= 0 ||
            parsed.count == SEARCHER_VERSIONS_MAX) {
            rc = RC_BAD_FIELD;
        }
        else {
            parsed.items[parsed.count++] = version;
        }
    }
    g_strfreev(items);
    if (rc == RC_OK) {
        *out = parsed;
    }
    return rc;
}
