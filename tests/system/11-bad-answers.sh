# Guards against wrong or missing answers when searchers truncate replies, send
# them twice, reply for another shard or send 8 MiB.
. "$(dirname "$0")/lib.sh"
system_start 3
load_start load 12 200 --order-permille 500
sleep 1
for ((round = 0; round < 8; round++)); do
    for fault in truncate duplicate cross oversize; do
        searchers_admin "{\"searcher\":{\"zone\":\"${ZONES[$((round % 3))]}\"},
            \"${fault}_next\":1}"
        sleep 0.3
    done
done
load_wait load
check_answers load
check "no answer was partial" load_is load partial -eq 0
check "no request failed" load_is load errors_total -eq 0
check_orders load
check_recovery 0 1 2
