#include <stddef.h>
#include <string.h>

#include "common/rc.h"

struct rc_entry {
    int rc;
    const char *name;
    enum rc_executed executed;
    int http_status;
    const char *text;
};

#define RC_ENTRY(symbol, number, name_, executed_, http, text_)               \
    {                                                                         \
        .rc = (number),                                                       \
        .name = (name_),                                                      \
        .executed = (executed_),                                              \
        .http_status = (http),                                                \
        .text = (text_),                                                      \
    },
static const struct rc_entry rc_table[] = {RC_LIST(RC_ENTRY)};
#undef RC_ENTRY

#define RC_COUNT (sizeof(rc_table) / sizeof(rc_table[0]))

static const struct rc_entry *
rc_find(int rc)
{
    for (size_t i = 0; i < RC_COUNT; i++) {
        if (rc_table[i].rc == rc) {
            return &rc_table[i];
        }
    }
    return NULL;
}

const char *
rc_name(int rc)
{
    const struct rc_entry *entry = rc_find(rc);
    return entry != NULL ? entry->name : "unknown";
}

const char *
rc_text(int rc)
{
    const struct rc_entry *entry = rc_find(rc);
    return entry != NULL ? entry->text : "unknown result code";
}

enum rc_executed
rc_executed(int rc)
{
    const struct rc_entry *entry = rc_find(rc);
    return entry != NULL ? entry->executed : RC_EXECUTED_UNKNOWN;
}

const char *
rc_executed_name(enum rc_executed executed)
{
    switch (executed) {
    case RC_EXECUTED_NO:
        return "no";
    case RC_EXECUTED_YES:
        return "yes";
    case RC_EXECUTED_UNKNOWN:
        break;
    }
    return "unknown";
}

int
rc_http_status(int rc)
{
    const struct rc_entry *entry = rc_find(rc);
    return entry != NULL ? entry->http_status : 500;
}

int
rc_from_name(const char *name)
{
    for (size_t i = 0; i < RC_COUNT; i++) {
        if (strcmp(rc_table[i].name, name) == 0) {
            return rc_table[i].rc;
        }
    }
    return 1;
}
