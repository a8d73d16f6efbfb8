#include "common/rc.h"
#include "entry/address.h"
#include "entry/answer.h"
#include "entry/http.h"

/* How long callers may use a copy of the answer. */
#define ENTRIES_TTL_MS 5000

void
cmd_entries(struct app *app, struct hsv_request *request, const char *rest)
{
    const struct msg_state *state = app_state(app);
    if (state == NULL) {
        ans_error(request, app->counters, RC_NOT_READY, RC_RUN_NO, NULL, NULL);
        return;
    }
    char *zone = hsv_query_value(request, "zone");
    char *caller = hsv_header(request, "x-caller");
    if (caller == NULL) {
        /* Callers without a name are spread one by one. */
        caller = g_strdup_printf("#%" G_GUINT64_FORMAT, ++app->unnamed_count);
    }
    const struct msg_machine *picked[ADR_MAX_ENTRIES];
    const char *self = app->stop_us != 0 ? app->options->machine : NULL;
    size_t count = adr_pick(state->machines, state->machine_count,
                            zone != NULL ? zone : app->options->zone, caller,
                            self, picked);
    json_t *entries = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(entries, json_pack("{s:s, s:s, s:s}", "machine",
                                                 picked[i]->name, "zone",
                                                 picked[i]->zone, "address",
                                                 picked[i]->entry_address));
    }
    ans_json(
        request, 200,
        json_pack("{s:o, s:i}", "entries", entries, "ttl_ms", ENTRIES_TTL_MS));
    g_free(zone);
    g_free(caller);
}
