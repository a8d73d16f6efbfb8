#include <string.h>

#include "common/rc.h"
#include "entry/answer.h"
#include "entry/http.h"

static const struct {
    const char *method;
    const char *path;
    bool is_prefix; /* a name follows */
    void (*run)(struct app *app, struct hsv_request *request,
                const char *rest);
} htp_commands[] = {
    {"POST", "/v1/search/", true, cmd_search},
    {"POST", "/v1/orders/", true, cmd_orders},
    {"POST", "/v1/ids", false, cmd_ids},
    {"GET", "/v1/entries", false, cmd_entries},
    {"GET", "/healthz", false, cmd_healthz},
    {"GET", "/metrics", false, cmd_metrics},
    {"GET", "/status", false, cmd_status},
};

/* Whether the path belongs to the command; sets what follows its prefix. */
static bool
htp_matches(size_t i, const char *path, const char **rest)
{
    size_t bytes = strlen(htp_commands[i].path);
    if (strncmp(path, htp_commands[i].path, bytes) != 0) {
        return false;
    }
    *rest = path + bytes;
    return htp_commands[i].is_prefix ? **rest != '\0' : **rest == '\0';
}

void
htp_on_request(struct hsv_request *request, void *ctx)
{
    struct app *app = ctx;
    for (size_t i = 0; i < G_N_ELEMENTS(htp_commands); i++) {
        const char *rest = NULL;
        if (!htp_matches(i, request->path, &rest)) {
            continue;
        }
        if (strcmp(request->method, htp_commands[i].method) != 0) {
            ans_error(request, app->counters, RC_BAD_METHOD, RC_RUN_NO, NULL,
                      NULL);
            return;
        }
        htp_commands[i].run(app, request, rest);
        app_wake(app);
        return;
    }
    ans_error(request, app->counters, RC_NO_ROUTE, RC_RUN_NO, NULL, NULL);
}
