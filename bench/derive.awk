# Figures at the size that drives the design, from docs/capacity/assumed.tsv
# (first file) and the fitted slopes (second file: name, unit, file, sizes,
# slope, intercept, R squared).
# Usage: awk -F'\t' -v OFS='\t' -v table=NAME -f bench/derive.awk FILES
NR == FNR { if (FNR > 1) a[$1] = $2; next }
{ s[$1] = $5; c[$1] = $6 }

function show(v) {
    if (v == int(v) && v < 1e6) return sprintf("%d", v)
    if (v >= 1e6) return sprintf("%.1f million", v / 1e6)
    return v >= 100 ? sprintf("%.0f", v) : v >= 10 ? sprintf("%.1f", v) : \
        v >= 0.1 ? sprintf("%.2f", v) : sprintf("%.4f", v)
}
# Value of a fitted line at a size.
function at(name, size) { return c[name] + s[name] * size }

# Processor time in us of one message of `parts` parts, both ends together.
function query_us(parts) {
    return (at("message", at("query_size", parts)) + at("encode_query", parts) + \
        at("decode_query", parts)) / 1000
}
function reply_us(parts) {
    return (at("message", at("reply_size", parts)) + at("encode_reply", parts) + \
        at("decode_reply", parts)) / 1000
}
# The same for a part inside a message of many.
function part_us() {
    return (s["encode_query"] + s["decode_query"] + s["encode_reply"] + \
        s["decode_reply"] + s["message"] * (s["query_size"] + s["reply_size"])) \
        / 1000
}

function load_table() {
    print "kind", "quantity", "value", "unit", "from"
    print "assumed", "parts per second, all", show(parts), "parts/s",
        "queries x fan-out"
    print "assumed", "parts per machine", show(machine_parts), "parts/s",
        "/ machines"
    print "assumed", "parts per searcher", show(searcher_parts), "parts/s",
        "/ searchers"
    print "assumed", "searchers per machine", show(a["searchers"] / a["machines"]),
        "searchers", "each held by one machine"
    print "fitted", "relay, one part", show(s["relay_part"]), "us of a core",
        "slope of fanout"
    print "fitted", "entry, one part", show(s["entry_part"]), "us of a core",
        "slope of fanout"
    print "fitted", "relay per machine", show(relay_cores), "cores",
        "slope x parts per machine"
    print "fitted", "entry per machine", show(entry_cores), "cores",
        "slope x parts per machine"
    print "fitted", "factor over the assumed cores",
        show((relay_cores + entry_cores) / a["cores"]), "times",
        "/ cores of a machine"
    print "fitted", "factor over one relay process",
        show(relay_cores), "times", "a process has one thread"
    print "fitted", "parts per second that one relay can do",
        show(1e6 / s["relay_part"]), "parts/s", "1 / slope"
    print "assumed", "service time that keeps 2 slots of a searcher busy",
        show(2e6 / searcher_parts), "us", "2 slots / parts per searcher"
}

function tree_row(name, per_query, messages, us, windows, hops, part_hops,    cores) {
    cores = messages * us / 1e6 + machine_parts * part_us() * part_hops / 1e6
    print "fitted", name, show(per_query), show(messages), show(cores),
        show(2 * hops * a["hop"] + windows * a["window"]),
        show((2 * hops * a["hop"] + windows * a["window"]) * 100 / a["p99"]) " %"
}
function tree_table(    holders, flat, per_s, window_s, fan) {
    print "kind", "shape", "messages per query at the entry",
        "messages/s per machine, each way", "cores per machine for messages",
        "added latency in ms", "share of the deadline"
    holders = a["fanout"] / (instances / a["machines"])
    per_s = a["queries"] / a["machines"]
    window_s = a["window"] / 1000
    fan = a["machines"] / a["tree"]
    tree_row("entry to " show(holders) " holders (today)", holders,
        per_s * holders, query_us(0) + reply_us(0), 0, 1, 1)
    tree_row("the same, queries batched per holder", holders,
        min(per_s * holders, a["machines"] / window_s),
        query_us(0) + reply_us(0), 2, 1, 1)
    # An aggregator sends to its holders what each query needs of them. One
    # member of each group of machines is the aggregator of an entry, so that
    # a machine has 4 links per group instead of 2 per machine.
    tree_row("entry to aggregators to holders", a["tree"],
        per_s * (a["tree"] + holders), query_us(0) + reply_us(0), 0, 2, 2)
    tree_row("the same, batched at both levels", a["tree"],
        min(per_s * a["tree"], a["tree"] / window_s) + fan / window_s,
        query_us(0) + reply_us(0), 4, 2, 2)
}

function batch_table(    w, n) {
    print "kind", "window in ms", "parts per request to a searcher",
        "requests/s per machine", "cores per machine for requests",
        "ms per request that keep 2 slots busy"
    split("0 0.5 1 2 5", w, " ")
    for (n = 1; n <= 5; n++) {
        per = w[n] == 0 ? 1 : searcher_parts * w[n] / 1000
        rate = machine_parts / per
        print "fitted", w[n], show(per), show(rate),
            show(rate * s["relay_part"] / 1e6 + machine_parts * part_us() / 1e6),
            show(2000 * a["searchers"] / a["machines"] / rate)
    }
}

function store_table(    kind, n, list, rate, sum) {
    print "kind", "call", "calls/s per machine", "calls/s of all machines",
        "target"
    n = split("get_vms get_contract get_config get_cell", list, " ")
    for (i = 1; i <= n; i++) {
        rate = c[list[i]]
        # The list of VMs is read less often above 200 machines.
        if (list[i] == "get_vms") rate = vms_rate
        print "fitted", list[i], show(rate), show(rate * a["machines"]), ""
        sum += rate * a["machines"]
    }
    print "fitted", "all reads", show(sum / a["machines"]), show(sum),
        show(a["store_reads"])
    rate = a["replaced"] + a["failed"]
    print "assumed", "contract writes: each machine that goes and comes back",
        "", show(rate * 2 * held / 86400), show(a["store_writes"])
    print "assumed", "cell writes: a removal and a join per machine", "",
        show(rate * 2 / 86400), show(a["store_writes"])
    print "assumed", "configuration writes", "", show(a["changes"] / 86400),
        show(a["store_writes"])
    print "fitted", "watches woken by contract changes (mean)", "",
        show(rate * 2 * held / 86400 * a["machines"]), show(a["store_reads"])
    print "fitted", "bytes/s that the store sends to wake them", "",
        show(rate * 2 * held / 86400 * a["machines"] * contract_bytes), ""
    print "fitted", "reads when one change wakes every watch at once", "1",
        show(a["machines"]), show(a["store_reads"])
}

function budget_row(name, cpu, kb, bytes) {
    cpu_sum += cpu
    kb_sum += kb
    bytes_sum += bytes
    print "fitted", name, show(cpu), show(kb / 1000), show(bytes)
}
function budget_table() {
    print "kind", "part", "1/1000 of a core", "MB", "bytes/s, sent and received"
    budget_row("agent in a cell of 7: intercept; bytes as at 50 machines",
        c["machine_cpu"], c["machine_rss"], at("machine_sent", 50) + \
        at("machine_received", 50) - 0.5 * s["listed_vms"] * 50)
    budget_row("2,200 machines: slope of listed machines",
        s["listed_cpu"] * a["machines"], s["listed_rss"] * a["machines"], 0)
    budget_row("list of VMs", 0, 0, vms_rate * vms_bytes)
    budget_row("11,000 searchers and their contracts",
        s["searcher_cpu"] * a["searchers"], s["searcher_rss"] * a["searchers"],
        (s["searcher_sent"] + s["searcher_received"]) * a["searchers"])
    budget_row("watches woken by contract changes", 0, 0,
        changes_per_s * contract_bytes)
    budget_row("configuration changes: cost of a change x changes",
        a["changes"] / 86400 * change_us / 1000, 0,
        a["changes"] / 86400 * at("change_bytes", document_bytes))
    budget_row(show(a["data_centres"]) " zones: slope, less the three of the intercept",
        zone_cpu, zone_kb, zone_bytes)
    # The store's list of contracts is in the row of the searchers.
    budget_row(show(held) " contracts held: slope", held_cpu, held_kb, 0)
    print "fitted", "sum", show(cpu_sum), show(kb_sum / 1000), show(bytes_sum)
    print "assumed", "budget", show(a["cpu_budget"]), show(a["memory_budget"]),
        show(a["bytes_budget"])
    print "fitted", "factor", show(cpu_sum / a["cpu_budget"]),
        show(kb_sum / 1000 / a["memory_budget"]),
        show(bytes_sum / a["bytes_budget"])
    print "fitted", "instead of the slope of listed machines: of running ones",
        show(s["machine_cpu"] * a["machines"]),
        show(s["machine_rss"] * a["machines"] / 1000), ""
    print "fitted", "besides: HELLO and OFFER of the entry to 2,200 relays",
        show(s["mesh_entry"] * a["machines"]), "",
        show((s["mesh_sent"] + s["mesh_received"]) * a["machines"])
    print "fitted", "besides: HELLO and OFFER at the relay",
        show(s["mesh_relay"] * a["machines"]), "", ""
    print "fitted", "besides: " show(held) " contracts held, at the relay",
        show(s["held_relay"] * held), show(s["held_relay_rss"] * held / 1000),
        show(s["held_http"] * held)
    print "fitted", "besides: configuration changes at entry and relay",
        show(a["changes"] / 86400 * (at("change_entry", document_bytes) + \
            at("change_relay", document_bytes)) / 1000), "", ""
    print "fitted", "besides: STATE of 5,500 contracts to entry and relay, loopback",
        show(s["agent_idle"] * instances), "", show(s["agent_held_bytes"] * instances)
}

function role_row(role, state, messages, cpu, kb, carrier) {
    print "fitted", role, state, messages, cpu, kb, carrier
}
function roles_table() {
    print "kind", "role", "state", "messages/s", "cores", "MB", "carried by"
    role_row("agent", show(a["machines"]) " machines, " show(instances) \
        " contracts, one document",
        show(5 * 2 * (a["cell"] - 1) + (a["cell"] - 1 + a["gossip"]) * 2),
        show(cpu_agent / 1000),
        show((c["machine_rss"] + s["listed_rss"] * a["machines"] + \
            s["searcher_rss"] * a["searchers"] + held_kb + zone_kb) / 1000),
        "beats in the cell, gossip, store watch and lists")
    role_row("entry", show(a["queries"] / a["machines"] * a["p99"] / 1000) \
        " running queries, " show(instances) " instances, links to " \
        show(a["machines"]) " relays",
        show(a["queries"] / a["machines"] * holders * 2) " and " \
        show(a["machines"] * 4) " of HELLO and OFFER",
        show(entry_cores + s["mesh_entry"] * a["machines"] / 1000),
        show(at("entry_rss", a["fanout"]) / 1000), "QUERY and REPLY, OFFER")
    role_row("relay", show(held) " contracts, " \
        show(a["searchers"] / a["machines"]) " searchers, links to " \
        show(a["machines"]) " entries",
        show(machine_parts * 2) " with searchers",
        show(relay_cores + s["mesh_relay"] * a["machines"] / 1000),
        show(at("relay_rss", a["searchers"] / a["machines"]) / 1000),
        "contracts, links, HTTP to searchers")
    role_row("ctl", "one document of " show(at("document", a["searchers"])) " bytes",
        show(a["changes"] / 86400 * a["machines"]) " if it sends to every agent",
        "not measured", "not measured", "conditional update, then watch and gossip")
}

function failure_row(name, machines, sees, is_planned,    contracts) {
    contracts = machines * held
    # Any surviving member of the cell may write CTR_WRITES_MAX per second.
    print "assumed", name, show(machines), show(contracts),
        show(machines * (held + 1)), show(machines * (held + 1) / a["store_writes"]),
        is_planned ? "handed over at once" : \
        show(a["lease"] * 2 + machines * (held + 1) / a["store_writes"]), sees
}
function failures_table() {
    print "kind", "event", "machines", "contracts taken over",
        "conditional updates (contracts, one cell removal each)",
        "seconds of writes at the limit",
        "seconds until the last is held: 2 LEASE and the writes", "callers see"
    failure_row("one machine lost (" a["failed"] " a day)", 1,
        "partial answers for " show(held * 100 / instances) " % of the shards")
    failure_row("one machine replaced (" a["replaced"] " a day)", 1,
        "nothing: orderly release", 1)
    failure_row("a rack", a["rack"],
        "partial answers for " show(a["rack"] * 100 / a["machines"]) " % of the shards")
    failure_row("a data centre", a["zone"],
        "partial answers for " show(a["zone"] * 100 / a["machines"]) \
        " % of the shards; more if its searchers are lost too")
    failure_row("a region cut off for an hour", a["region"],
        "depends on where the store and the cells are, see below")
}

function spread_table(    n, informed, rounds) {
    print "kind", "step", "value", "unit"
    informed = 1
    rounds = 0
    # Push to three random machines a second, and the whole cell by beats.
    while (informed < a["machines"] - 0.5 && rounds < 50) {
        miss = exp(-a["gossip"] * informed / a["machines"])
        informed = informed + (a["machines"] - informed) * (1 - miss ^ a["cell"])
        rounds += 1
    }
    print "fitted", "gossip rounds until fewer than half a machine is missing",
        rounds, "s"
    print "assumed", "target", a["change_time"], "s"
    print "assumed", "mean gap between changes", show(86400 / a["changes"]), "s"
    print "fitted", "document", show(at("document", a["searchers"])), "bytes"
    print "fitted", "document bytes per change over all machines",
        show(at("document", a["searchers"]) * a["machines"]), "bytes"
    print "fitted", "document bytes/s per machine",
        show(at("document", a["searchers"]) * a["changes"] / 86400), "bytes/s"
    print "fitted", "searchers at which the store's limit is passed",
        show((a["store_value"] - c["document"]) / s["document"]), "searchers"
}

function furthest_table() {
    print "kind", "line", "value", "target", "factor", "command"
    value[1] = relay_cores + entry_cores
    line[1] = "cores per machine for parts"
    goal[1] = a["cores"]
    command[1] = "scripts/capacity fanout"
    value[2] = (s["mesh_sent"] + s["mesh_received"]) * a["machines"]
    line[2] = "bytes/s of HELLO and OFFER per machine"
    goal[2] = a["bytes_budget"]
    command[2] = "scripts/capacity mesh"
    value[3] = (s["searcher_sent"] + s["searcher_received"]) * a["searchers"]
    line[3] = "bytes/s of store lists per machine"
    goal[3] = a["bytes_budget"]
    command[3] = "scripts/capacity searchers"
    value[4] = cpu_agent
    line[4] = "1/1000 of a core, agent"
    goal[4] = a["cpu_budget"]
    command[4] = "scripts/capacity listed"
    value[5] = s["mesh_entry"] * a["machines"]
    line[5] = "1/1000 of a core, HELLO and OFFER at the entry"
    goal[5] = a["cpu_budget"]
    command[5] = "scripts/capacity mesh"
    value[6] = relay_cores
    line[6] = "cores of one relay process"
    goal[6] = 1
    command[6] = "scripts/capacity fanout"
    value[7] = s["agent_held_bytes"] * instances
    line[7] = "bytes/s of STATE on the loopback"
    goal[7] = a["bytes_budget"]
    command[7] = "scripts/capacity fanout"
    value[8] = c["gossip_gap"]
    line[8] = "s between two beats of a machine by gossip, p99 (modelled)"
    goal[8] = 30
    command[8] = "scripts/capacity gossip"
    value[9] = a["changes"] / 86400 * at("change_bytes", document_bytes)
    line[9] = "bytes/s of configuration changes per machine"
    goal[9] = a["bytes_budget"]
    command[9] = "scripts/capacity change"
    for (k = 1; k <= 9; k++) {
        best = 0
        for (i = 1; i <= 9; i++)
            if (!(i in done) && (best == 0 || value[i] / goal[i] > value[best] / goal[best]))
                best = i
        done[best] = 1
        print "fitted", line[best], show(value[best]), show(goal[best]),
            show(value[best] / goal[best]), "`" command[best] "`"
    }
}

function min(x, y) { return x < y ? x : y }
function max(x, y) { return x > y ? x : y }

END {
    instances = a["searchers"] / a["replicas"]
    held = instances / a["machines"]
    holders = a["fanout"] / held
    parts = a["queries"] * a["fanout"]
    machine_parts = parts / a["machines"]
    searcher_parts = parts / a["searchers"]
    relay_cores = machine_parts * s["relay_part"] / 1e6
    entry_cores = machine_parts * s["entry_part"] / 1e6
    contract_bytes = at("contract_list", a["searchers"])
    changes_per_s = (a["failed"] + a["replaced"]) * 2 * held / 86400
    # POL_VMS_PER_MACHINE_US: 10 ms per machine, at least 2 s.
    vms_rate = 1 / max(2, a["machines"] * 0.01)
    vms_bytes = at("listed_vms", a["machines"])
    document_bytes = at("document", a["searchers"])
    change_us = at("change_agent", document_bytes)
    # A slope below zero is noise and must not lower the sum.
    zone_cpu = max(0, s["zone_cpu"]) * (a["data_centres"] - 3)
    zone_kb = max(0, s["zone_rss"]) * (a["data_centres"] - 3)
    zone_bytes = max(0, s["zone_sent"] + s["zone_received"]) * \
        (a["data_centres"] - 3)
    held_cpu = max(0, s["held_agent"]) * held
    held_kb = max(0, s["held_agent_rss"]) * held
    cpu_agent = c["machine_cpu"] + s["listed_cpu"] * a["machines"] + \
        s["searcher_cpu"] * a["searchers"] + held_cpu + zone_cpu + \
        a["changes"] / 86400 * change_us / 1000
    if (table == "load") load_table()
    if (table == "tree") tree_table()
    if (table == "batch") batch_table()
    if (table == "store") store_table()
    if (table == "budget") budget_table()
    if (table == "roles") roles_table()
    if (table == "failures") failures_table()
    if (table == "spread") spread_table()
    if (table == "furthest") furthest_table()
}
