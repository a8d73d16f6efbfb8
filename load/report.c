#include <glib.h>
#include <inttypes.h>

#include "common/rc.h"
#include "load/report.h"

static const struct {
    const char *name;
    uint32_t permille;
} report_percentiles[] = {
    {"p50", 500}, {"p90", 900}, {"p99", 990}, {"p999", 999}, {"max", 1000},
};

void
report_init(struct report *report)
{
    *report = (struct report){.sent = 0};
    report->refused_by_code = g_hash_table_new(g_str_hash, g_str_equal);
    report->errors_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    report->wrong_by_kind = g_hash_table_new(g_str_hash, g_str_equal);
}

/* `name` must be static. */
static void
report_count(GHashTable *counts, const char *name)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, name));
    g_hash_table_insert(counts, (gpointer)name, GUINT_TO_POINTER(count + 1));
}

static void
report_add_answered(struct report *report,
                    const struct report_outcome *outcome)
{
    report->ok += 1;
    report->in_time += outcome->latency_us <= outcome->deadline_us;
    if (outcome->is_order) {
        report->orders_ok += 1;
        histogram_add(&report->order_latency, outcome->latency_us);
        return;
    }
    report->partial += !outcome->is_complete;
    report->complete += outcome->is_complete;
    report->coverage_sum += outcome->coverage;
    histogram_add(&report->latency, outcome->latency_us);
}

void
report_add(struct report *report, const struct report_outcome *outcome)
{
    if (outcome->verdict != CHECK_OK) {
        report->wrong += 1;
        report_count(report->wrong_by_kind, check_name(outcome->verdict));
        return;
    }
    switch (outcome->end) {
    case REPORT_ANSWERED:
        report_add_answered(report, outcome);
        break;
    case REPORT_REFUSED:
        report->refused += 1;
        report_count(report->refused_by_code, rc_name(outcome->rc));
        break;
    case REPORT_ERROR:
        report->errors += 1;
        report_count(report->errors_by_name, outcome->error);
        break;
    }
}

double
report_coverage_mean(const struct report *report)
{
    uint64_t searches = report->complete + report->partial;
    return searches == 0 ? 0 : report->coverage_sum / (double)searches;
}

static double
report_complete_share(const struct report *report)
{
    uint64_t searches = report->complete + report->partial;
    return searches == 0 ? 0 : (double)report->complete / (double)searches;
}

static json_t *
report_json_counts(GHashTable *counts)
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
report_json_latency(const struct histogram *histogram)
{
    json_t *out = json_object();
    for (size_t i = 0; i < G_N_ELEMENTS(report_percentiles); i++) {
        json_object_set_new(out, report_percentiles[i].name,
                            json_integer(histogram_value_at(
                                histogram, report_percentiles[i].permille)));
    }
    return out;
}

json_t *
report_json(const struct report *report, double seconds)
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
                        report_json_counts(report->refused_by_code));
    json_object_set_new(out, "errors",
                        report_json_counts(report->errors_by_name));
    json_object_set_new(out, "wrong",
                        report_json_counts(report->wrong_by_kind));
    json_object_set_new(out, "latency_us",
                        report_json_latency(&report->latency));
    json_object_set_new(out, "order_latency_us",
                        report_json_latency(&report->order_latency));
    json_object_set_new(out, "send_lag_us",
                        report_json_latency(&report->send_lag));
    json_object_set_new(out, "coverage_mean",
                        json_real(report_coverage_mean(report)));
    json_object_set_new(out, "coverage_full_share",
                        json_real(report_complete_share(report)));
    json_object_set_new(out, "goodput_per_s",
                        json_real((double)report->in_time / seconds));
    return out;
}

static void
report_print_counts(const char *title, GHashTable *counts, FILE *out)
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
report_print_latency(const char *title, const struct histogram *histogram,
                     FILE *out)
{
    if (histogram->total == 0) {
        return;
    }
    (void)fprintf(out, "%-10s", title);
    for (size_t i = 0; i < G_N_ELEMENTS(report_percentiles); i++) {
        (void)fprintf(
            out, "  %s %" PRId64, report_percentiles[i].name,
            histogram_value_at(histogram, report_percentiles[i].permille));
    }
    (void)fprintf(out, " us\n");
}

void
report_print(const struct report *report, double seconds, FILE *out)
{
    (void)fprintf(out,
                  "sent       %12" PRIu64 "  (%.1f/s, %" PRIu64 " orders)\n"
                  "ok         %12" PRIu64 "  (%" PRIu64 " partial)\n"
                  "refused    %12" PRIu64 "\n",
                  report->sent, (double)report->sent / seconds,
                  report->orders_sent, report->ok, report->partial,
                  report->refused);
    report_print_counts("refused", report->refused_by_code, out);
    (void)fprintf(out, "errors     %12" PRIu64 "\n", report->errors);
    report_print_counts("error  ", report->errors_by_name, out);
    (void)fprintf(out, "wrong      %12" PRIu64 "\n", report->wrong);
    report_print_counts("wrong  ", report->wrong_by_kind, out);
    (void)fprintf(out,
                  "retries    %12" PRIu64 "  (%" PRIu64 " orders repeated)\n"
                  "goodput    %14.1f/s\n"
                  "coverage   %12.6f  mean, %.6f of answers complete\n",
                  report->retries, report->orders_repeated,
                  (double)report->in_time / seconds,
                  report_coverage_mean(report), report_complete_share(report));
    report_print_latency("searches", &report->latency, out);
    report_print_latency("orders", &report->order_latency, out);
    report_print_latency("send lag", &report->send_lag, out);
}
