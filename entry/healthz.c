#include "common/rc.h"
#include "entry/answer.h"
#include "entry/http.h"

void
cmd_healthz(struct app *app, struct hsv_request *request, const char *rest)
{
    if (app->config == NULL) {
        ans_error(request, app->counters, RC_NOT_READY, RC_RUN_NO, NULL, NULL);
        return;
    }
    ans_json(request, 200,
             json_pack("{s:s}", "state",
                       app->stop_us != 0 ? "draining" : "serving"));
}
