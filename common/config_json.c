#include "common/config.h"
#include "common/rc.h"

int
cfg_parse(const char *json, size_t json_bytes, struct cfg **out, char **error)
{
    *error = g_strdup("not implemented");
    return RC_INVALID;
}
