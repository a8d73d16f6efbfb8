#include "common/rc.h"
#include "entry/answer.h"
#include "entry/http.h"

void
cmd_ids(struct app *app, struct hsv_request *request, const char *rest)
{
    /* An order needs an id, so the caller's quota is taken here and not again
     * with the order: a refused repeat could not say "not run". */
    char *caller = hsv_header(request, "x-caller");
    int64_t now_us = app_now_us();
    int rc = qta_take(app->quota, caller, now_us);
    g_free(caller);
    char *id = NULL;
    if (rc == RC_OK) {
        rc = rid_issue(app->ids, now_us, &id);
    }
    if (rc != RC_OK) {
        ans_error(request, app->counters, rc, RC_RUN_NO, NULL, NULL);
        return;
    }
    ans_json(request, 200,
             json_pack("{s:s, s:I}", "id", id, "expires_ms",
                       (json_int_t)(RID_EXPIRY_US / 1000)));
    g_free(id);
}
