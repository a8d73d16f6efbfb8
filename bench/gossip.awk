# Model of the agents' gossip at sizes that do not fit on one machine: rounds
# of one second, cells of seven, the constants of include/agent/gossip.h and
# include/agent/member.h. A message of 12 entries goes to the six others of the
# cell and to three random machines; entries that the sender lacks come back
# in a reply. Each machine sends at its own moment of the second, in a fixed
# random order. Loss, delay and recent changes are left out.
# Usage: awk -v machines=N -v seconds=S -f bench/gossip.awk
# Prints `machines seconds late_permille gap_p50_s gap_p99_s revision_s`: how
# long ago the beat known of another machine last advanced, the share that did
# not for 30 s (such a machine is taken for dead), and the seconds until a
# revision given to one machine is known everywhere.
function take(to, about, beat) {
    if (beat <= known[to * machines + about]) return
    known[to * machines + about] = beat
    if (to % 21 == 0) advanced[to * machines + about] = second
}
function send(from, to,    i, about, ours, theirs) {
    if (revision[from] && !revision[to]) revision[to] = second
    take(to, from, second)
    for (i = 1; i < 12; i++) {
        about = (turn[from] + i) % machines
        if (about == to) continue
        ours = known[from * machines + about] + 0
        theirs = known[to * machines + about] + 0
        if (theirs > ours) take(from, about, theirs)
        else if (ours > theirs) take(to, about, ours)
    }
}
function pick(self,    other) {
    do other = int(rand() * machines)
    while (int(other / 7) == int(self / 7))
    return other
}
function shuffle(    i, j, k) {
    for (i = 0; i < machines; i++) {
        order[i] = i
        turn[i] = int(rand() * machines)
    }
    for (i = machines - 1; i > 0; i--) {
        j = int(rand() * (i + 1))
        k = order[i]
        order[i] = order[j]
        order[j] = k
    }
}
function round(    n, i, j, k, first) {
    for (i = 0; i < machines; i++) known[i * machines + i] = second
    for (n = 0; n < machines; n++) {
        i = order[n]
        first = int(i / 7) * 7
        for (j = first; j < first + 7 && j < machines; j++)
            if (j != i) send(i, j)
        for (k = 0; k < 3; k++) send(i, pick(i))
        turn[i] = (turn[i] + 11) % machines
    }
}
function report(    i, j, gap, gaps, total, late, sum, p50, p99, rounds) {
    for (i = 0; i < machines; i++)
        rounds = revision[i] > rounds ? revision[i] : rounds
    for (i = 0; i < machines; i += 21) {
        for (j = 0; j < machines; j++) {
            # Those of the cell are judged by their beats.
            if (int(i / 7) == int(j / 7)) continue
            gap = seconds - advanced[i * machines + j]
            gaps[gap] += 1
            total += 1
            late += gap >= 30
        }
    }
    for (gap = 0; gap <= seconds; gap++) {
        sum += gaps[gap]
        if (p50 == "" && sum >= total / 2) p50 = gap
        if (p99 == "" && sum >= total * 0.99) p99 = gap
    }
    printf "%d\t%d\t%.1f\t%d\t%d\t%d\n", machines, seconds,
        late * 1000 / total, p50, p99, rounds
}
BEGIN {
    srand(1)
    shuffle()
    revision[0] = 1
    for (second = 1; second <= seconds; second++) round()
    report()
}
