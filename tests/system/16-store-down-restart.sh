# Guards against holders that give instances up for a machine that came back
# while the store, which has to name the new holder, is down: nobody may use
# them until it is back.
. "$(dirname "$0")/lib.sh"
system_start 3
fact "each instance has one holder" dep_wait 20 held_once 0 1 2
machine_stop 2
machine_spawn 2 c
dep_wait 10 http_get "$(agent_http 2)/status"
sleep 3
fact "each instance has one holder after a restart" held_once 0 1 2
store_admin '{"down":true}'
sleep 8
for ((i = 0; i < 3; i++)); do
    http_get "$(agent_http "$i")/status" >&2
done
fact "each instance keeps its holder while the store is down" held_once 0 1 2
fact "searches are complete while the store is down" complete_at 0
store_admin '{"down":false}'
facts_of_recovery 0 1 2
