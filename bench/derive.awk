# Derives the figures at the design size from the assumptions of
# docs/capacity/assumed.tsv (first file: name, value) and the fitted lines
# (second file: name, unit, file, sizes, slope, intercept, R squared). Prints
# a table separated by OFS; its factor is value / target.
NR == FNR { if (FNR > 1) assumed[$1] = $2; next }
{ slope[$1] = $5; intercept[$1] = $6 }

function format_value(v) {
    if (v == int(v) && v < 1e6) return sprintf("%d", v)
    if (v >= 1e6) return sprintf("%.1f million", v / 1e6)
    return v >= 100 ? sprintf("%.0f", v) : v >= 10 ? sprintf("%.1f", v) : \
        v >= 0.1 ? sprintf("%.2f", v) : sprintf("%.4f", v)
}
# Value of a fitted line at a size. A negative slope is noise and counts as 0.
function fitted(name, size) {
    return intercept[name] + (slope[name] > 0 ? slope[name] : 0) * size
}
function print_row(kind, quantity, value, unit, target, source) {
    print kind, quantity, format_value(value), unit,
        target == "" ? "" : format_value(target),
        target == "" ? "" : format_value(value / target), source
}

END {
    print "kind", "quantity", "value", "unit", "target", "factor", "from"
    parts = assumed["queries"] * assumed["fanout"]
    print_row("assumed", "parts per second, all", parts, "parts/s", "",
        "queries x fan-out")
    print_row("assumed", "parts per VM", parts / assumed["machines"],
        "parts/s", "", "/ VMs")
    print_row("assumed", "parts per backend server",
        parts / assumed["searchers"], "parts/s", "", "/ backend servers")
    print_row("fitted", "one part", slope["part"], "us of a core", "",
        "slope of fanout")
    print_row("fitted", "parts of a VM",
        parts / assumed["machines"] * slope["part"] / 1e6, "cores",
        assumed["cores"], "slope x parts per VM")
    print_row("fitted", "parts that one process can do", 1e6 / slope["part"],
        "parts/s", "", "1 / slope")
    print_row("fitted", "a VM without requests, VMs",
        fitted("vm_cpu", assumed["machines"]), "1/1000 of a core",
        assumed["cpu_budget"], "slope of vms")
    print_row("fitted", "the same, backend servers",
        fitted("searcher_cpu", assumed["searchers"]), "1/1000 of a core",
        assumed["cpu_budget"], "slope of searchers")
    change_ms = fitted("change",
        fitted("document", assumed["searchers"])) / 1000
    print_row("fitted", "configuration changes",
        change_ms * assumed["changes"] / 86400, "1/1000 of a core",
        assumed["cpu_budget"], "slope of change x changes")
    print_row("fitted", "memory, VMs",
        fitted("vm_rss", assumed["machines"]) / 1000, "MB",
        assumed["memory_budget"], "slope of vms")
    print_row("fitted", "memory, backend servers",
        fitted("searcher_rss", assumed["searchers"]) / 1000, "MB",
        assumed["memory_budget"], "slope of searchers")
    print_row("fitted", "document",
        fitted("document", assumed["searchers"]), "bytes",
        assumed["store_value"], "slope of document")
    print_row("fitted", "document bytes per VM",
        fitted("document", assumed["searchers"]) * assumed["changes"] / 86400,
        "bytes/s", assumed["bytes_budget"], "document x changes")
}
