# shellcheck shell=bash
# Plots of docs/CAPACITY.md from docs/capacity/*.tsv; sourced by
# scripts/capacity after bench/tables.sh, whose fits they draw.

# plot_series TITLE BLOCK COLOUR FILE X Y [WHERE...]: adds the points of pairs()
# and their fitted line to the next plot, by way of gnuplot's data block BLOCK.
plot_series() {
    local title=$1 block=$2 colour=$3 sizes slope intercept r2
    [ -f "$DATA/$4.tsv" ] || return 0
    PLOT_TERMS+="${PLOT_TERMS:+, }\$$block using 1:2 with points"
    PLOT_TERMS+=" pointtype 7 pointsize 0.6 linecolor rgb '$colour'"
    PLOT_TERMS+=" title '$title'"
    shift 3
    PLOT_DATA+="\$$block << EOD"$'\n'"$(pairs "$@")"$'\nEOD\n'
    read -r sizes slope intercept r2 \
        < <(pairs "$@" | awk -f scripts/fit.awk)
    [ "$sizes" != none ] || return 0
    PLOT_TERMS+=", $intercept + $slope * x with lines linewidth 1.5"
    PLOT_TERMS+=" linecolor rgb '$colour'"
    PLOT_TERMS+=" title sprintf('%.4g + %.4g x, R^2 %.3f',"
    PLOT_TERMS+=" $intercept, $slope, $r2)"
}

# plot_write NAME XLABEL YLABEL: the series since the last plot as SVG.
plot_write() {
    [ -n "$PLOT_TERMS" ] || return 0
    gnuplot <<END
set terminal svg noenhanced size 720,440 font 'sans,11' background rgb 'white'
set output '$DATA/$1.svg'
set key outside below left maxcols 2
set grid linecolor rgb '#dddddd'
set xlabel '$2'
set ylabel '$3'
set xrange [0:*]
set yrange [0:*]
set samples 2
$PLOT_DATA
plot $PLOT_TERMS
END
    PLOT_DATA=
    PLOT_TERMS=
}

plots_write() {
    local blue='#1f5fa8' red='#b8402a' green='#3a7d44'
    PLOT_DATA=
    PLOT_TERMS=
    plot_series "relay, one machine" a "$blue" fanout shards relay_us
    plot_series "relays, two machines" b "$red" fanout2 shards relay_us
    plot_write fanout_relay "shards of a query" "us of a core per query"
    plot_series "entry, one machine" a "$blue" fanout shards entry_us
    plot_series "entries, two machines" b "$red" fanout2 shards entry_us
    plot_write fanout_entry "shards of a query" "us of a core per query"
    plot_series "agent, running machines" a "$blue" machines machines \
        cpu_permille machines 14
    plot_series "entry, whole machines" b "$red" mesh machines entry_permille
    plot_series "relay, whole machines" c "$green" mesh machines \
        relay_permille
    plot_write machines "machines" "1/1000 of a core"
    plot_series "agent, listed machines" a "$blue" listed machines cpu_permille
    plot_write listed "machines in the list" "1/1000 of a core"
    plot_series "agent" a "$blue" searchers searchers cpu_permille
    plot_write searchers "searchers in the configuration" "1/1000 of a core"
    plot_series "agent" a "$blue" zones zones cpu_permille
    plot_write zones "zones in the configuration" "1/1000 of a core"
    plot_series "agent" a "$blue" held instances agent_permille
    plot_series "relay" b "$red" held instances relay_permille
    plot_write held "contracts held" "1/1000 of a core"
    plot_series "0.2 changes/s" a "$blue" change document_bytes agent_us \
        rate_per_s 0 0.2
    plot_series "0.5 changes/s" b "$red" change document_bytes agent_us \
        rate_per_s 0 0.5
    plot_series "1 change/s" c "$green" change document_bytes agent_us \
        rate_per_s 0 1
    plot_write change "bytes of the document" \
        "us of a core per change, one agent"
}
