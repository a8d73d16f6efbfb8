# Figures at the size that drives the design, from docs/capacity/assumed.tsv
# (first file) and the fitted slopes (second file: name, unit, file, sizes,
# slope, intercept, R squared).
NR == FNR { if (FNR > 1) a[$1] = $2; next }
{ s[$1] = $5; c[$1] = $6 }

function show(v) {
    if (v == int(v) && v < 1e6) return sprintf("%d", v)
    if (v >= 1e6) return sprintf("%.1f million", v / 1e6)
    return v >= 100 ? sprintf("%.0f", v) : v >= 10 ? sprintf("%.1f", v) : \
        v >= 0.1 ? sprintf("%.2f", v) : sprintf("%.4f", v)
}
# Value of a fitted line at a size; noise below zero counts as nothing.
function at(name, size) {
    return c[name] + (s[name] > 0 ? s[name] : 0) * size
}
function line(kind, quantity, value, unit, target, from) {
    print kind, quantity, show(value), unit, target == "" ? "" : show(target),
        target == "" ? "" : show(value / target), from
}

END {
    print "kind", "quantity", "value", "unit", "target", "factor", "from"
    parts = a["queries"] * a["fanout"]
    line("assumed", "parts per second, all", parts, "parts/s", "",
        "queries x fan-out")
    line("assumed", "parts per VM", parts / a["machines"], "parts/s", "",
        "/ VMs")
    line("assumed", "parts per backend server", parts / a["searchers"],
        "parts/s", "", "/ backend servers")
    line("fitted", "one part", s["part"], "us of a core", "",
        "slope of fanout")
    line("fitted", "parts of a VM", parts / a["machines"] * s["part"] / 1e6,
        "cores", a["cores"], "slope x parts per VM")
    line("fitted", "parts that one process can do", 1e6 / s["part"],
        "parts/s", "", "1 / slope")
    line("fitted", "a VM without requests, VMs", at("vm_cpu", a["machines"]),
        "1/1000 of a core", a["cpu_budget"], "slope of vms")
    line("fitted", "the same, backend servers",
        at("searcher_cpu", a["searchers"]), "1/1000 of a core",
        a["cpu_budget"], "slope of searchers")
    change_ms = at("change", at("document", a["searchers"])) / 1000
    line("fitted", "configuration changes", change_ms * a["changes"] / 86400,
        "1/1000 of a core", a["cpu_budget"], "slope of change x changes")
    line("fitted", "memory, VMs", at("vm_rss", a["machines"]) / 1000, "MB",
        a["memory_budget"], "slope of vms")
    line("fitted", "memory, backend servers",
        at("searcher_rss", a["searchers"]) / 1000, "MB", a["memory_budget"],
        "slope of searchers")
    line("fitted", "document", at("document", a["searchers"]), "bytes",
        a["store_value"], "slope of document")
    line("fitted", "document bytes per VM",
        at("document", a["searchers"]) * a["changes"] / 86400, "bytes/s",
        a["bytes_budget"], "document x changes")
}
