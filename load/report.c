#include <glib.h>
#include <inttypes.h>

#include "common/rc.h"
#include "load/report.h"

static const struct {
    const char *name;
    uint32_t permille;
} rep_percentiles[] = {
    {"p50", 500}, {"p90", 900}, {"p99", 990}, {"p999", 999}, {"max", 1000},
};

void
rep_init(struct rep *report)
{
    *report = (struct rep){.sent = 0};
    report->refused_by_code = g_hash_table_new(g_str_hash, g_str_equal);
    report->errors_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    report->wrong_by_kind = g_hash_table_new(g_str_hash, g_str_equal);
}

/* `name` must be static. */
static void
rep_count(GHashTable *counts, const char *name)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, name));
    g_hash_table_insert(counts, (gpointer)name, GUINT_TO_POINTER(count + 1));
}

static void
rep_add_answered(struct rep *report, const struct rep_outcome *outcome)
{
    report->ok += 1;
    report->in_time += outcome->latency_us <= outcome->deadline_us;
    if (outcome->is_order) {
        report->orders_ok += 1;
        hst_add(&report->order_latency, outcome->latency_us);
        return;
    }
    report->partial += !outcome->is_complete;
    report->full += outcome->is_complete;
    report->coverage_sum += outcome->coverage;
    hst_add(&report->latency, outcome->latency_us);
}

void
rep_add(struct rep *report, const struct rep_outcome *outcome)
{
    if (outcome->wrong != CHK_RIGHT) {
        report->wrong += 1;
        rep_count(report->wrong_by_kind, chk_name(outcome->wrong));
        return;
    }
    switch (outcome->end) {
    case REP_ANSWERED:
        rep_add_answered(report, outcome);
        break;
    case REP_REFUSED:
        report->refused += 1;
        rep_count(report->refused_by_code, rc_name(outcome->rc));
        break;
    case REP_ERROR:
        report->errors += 1;
        rep_count(report->errors_by_name, outcome->error);
        break;
    }
}

double
rep_coverage_mean(const struct rep *report)
{
    uint64_t searches = report->full + report->partial;
    return searches == 0 ? 0 : report->coverage_sum / (double)searches;
}

static double
rep_full_share(const struct rep *report)
{
    uint64_t searches = report->full + report->partial;
    return searches == 0 ? 0 : (double)report->full / (double)searches;
}

static json_t *
rep_json_counts(GHashTable *counts)
{
    json_t *out = json_object();
    GHashTableIter iter;
    gpointer name;
    gpointer count;
    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        json_object_set_new(out, name, json_integer(GPOINTER_TO_UINT(count)));
    }
    return out;
}

static json_t *
rep_json_latency(const struct hst *hist)
{
    json_t *out = json_object();
    for (size_t i = 0; i < G_N_ELEMENTS(rep_percentiles); i++) {
        json_object_set_new(
            out, rep_percentiles[i].name,
            json_integer(hst_value_at(hist, rep_percentiles[i].permille)));
    }
    return out;
}

json_t *
rep_json(const struct rep *report, double seconds)
{
    const struct {
        const char *name;
        uint64_t value;
    } counts[] = {
        {"sent", report->sent},
        {"ok", report->ok},
        {"partial", report->partial},
        {"refused_total", report->refused},
        {"errors_total", report->errors},
        {"wrong_total", report->wrong},
        {"retries", report->retries},
        {"orders_sent", report->orders_sent},
        {"orders_ok", report->orders_ok},
        {"orders_repeated", report->orders_repeated},
    };
    json_t *out = json_object();
    json_object_set_new(out, "seconds", json_real(seconds));
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        json_object_set_new(out, counts[i].name,
                            json_integer((json_int_t)counts[i].value));
    }
    json_object_set_new(out, "refused",
                        rep_json_counts(report->refused_by_code));
    json_object_set_new(out, "errors",
                        rep_json_counts(report->errors_by_name));
    json_object_set_new(out, "wrong", rep_json_counts(report->wrong_by_kind));
    json_object_set_new(out, "latency_us", rep_json_latency(&report->latency));
    json_object_set_new(out, "order_latency_us",
                        rep_json_latency(&report->order_latency));
    json_object_set_new(out, "send_lag_us",
                        rep_json_latency(&report->send_lag));
    json_object_set_new(out, "coverage_mean",
                        json_real(rep_coverage_mean(report)));
    json_object_set_new(out, "coverage_full_share",
                        json_real(rep_full_share(report)));
    json_object_set_new(out, "goodput_per_s",
                        json_real((double)report->in_time / seconds));
    return out;
}

static void
rep_print_counts(const char *title, GHashTable *counts, FILE *out)
{
    GList *names = g_list_sort(g_hash_table_get_keys(counts),
                               (GCompareFunc)(void (*)(void))g_strcmp0);
    for (GList *item = names; item != NULL; item = item->next) {
        guint count =
            GPOINTER_TO_UINT(g_hash_table_lookup(counts, item->data));
        (void)fprintf(out, "  %s %-20s %12u\n", title, (char *)item->data,
                      count);
    }
    g_list_free(names);
}

static void
rep_print_latency(const char *title, const struct hst *hist, FILE *out)
{
    if (hist->total == 0) {
        return;
    }
    (void)fprintf(out, "%-10s", title);
    for (size_t i = 0; i < G_N_ELEMENTS(rep_percentiles); i++) {
        (void)fprintf(out, "  %s %" PRId64, rep_percentiles[i].name,
                      hst_value_at(hist, rep_percentiles[i].permille));
    }
    (void)fprintf(out, " us\n");
}

void
rep_print(const struct rep *report, double seconds, FILE *out)
{
    (void)fprintf(out,
                  "sent       %12" PRIu64 "  (%.1f/s, %" PRIu64 " orders)\n"
                  "ok         %12" PRIu64 "  (%" PRIu64 " partial)\n"
                  "refused    %12" PRIu64 "\n",
                  report->sent, (double)report->sent / seconds,
                  report->orders_sent, report->ok, report->partial,
                  report->refused);
    rep_print_counts("refused", report->refused_by_code, out);
    (void)fprintf(out, "errors     %12" PRIu64 "\n", report->errors);
    rep_print_counts("error  ", report->errors_by_name, out);
    (void)fprintf(out, "wrong      %12" PRIu64 "\n", report->wrong);
    rep_print_counts("wrong  ", report->wrong_by_kind, out);
    (void)fprintf(out,
                  "retries    %12" PRIu64 "  (%" PRIu64 " orders repeated)\n"
                  "goodput    %14.1f/s\n"
                  "coverage   %12.6f  mean, %.6f of answers complete\n",
                  report->retries, report->orders_repeated,
                  (double)report->in_time / seconds, rep_coverage_mean(report),
                  rep_full_share(report));
    rep_print_latency("searches", &report->latency, out);
    rep_print_latency("orders", &report->order_latency, out);
    rep_print_latency("send lag", &report->send_lag, out);
}
