#!/bin/bash
# Backend servers whose answers announce that they are leaving, or ask for a
# pause: the instance that gets such an answer stops sending to them at once,
# even if it is cut off from control, and tells the other instances which
# servers leave.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"max_attempts":3,"resumable":true,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

entries='21 22'
for n in 11 12 13; do state $n true; done
# --revoke-ms: an instance that is cut off keeps its orders for the whole test.
for n in $entries; do entry $n --retry-window-ms 1000 --revoke-ms 60000; done
for id in s-1 s-2; do
	start "$id" cf-fake-server "$id" 127.0.0.1:0
	eval "${id/-/_}=${addr##*:}"
done
put 1 4000
slots=200
announce s-1 "$s_1"
await_entries $entries
budget() { [ "$(metric "$1" 'celeryford_retry_budget_left{service="s"}')" -ge 1 ]; }
for n in $entries; do until budget $n; do sleep 0.1; done; done
# got ID PATH: number of requests for PATH that server ID has received.
got() { grep -c "got [0-9]* $2" "$dir/$1.out"; }

# A server that asks for a pause gets no requests from that instance meanwhile.
check 'a request that is refused for longer than it may wait' 503 "$(status 21 /pause/1 p1)"
before=$(got s-1 /ok/)
head=$(ask 21 /ok/2 p2 -D - -o /dev/null)
has 'the next is refused at once' ' 503 ' "$head"
# The server asks for 2.5 s; Retry-After is at most a third of the caller's 4 s.
retry=$(echo "$head" | tr -d '\r' | sed -n 's/^Retry-After: //p')
check 'and told to come back in a third of its time' 1.3 "${retry%??}"
for i in $(seq 10); do status 21 "/ok/p$i" "pp$i" >/dev/null; done
check 'nothing reaches the server in its pause' "$before" "$(got s-1 /ok/)"
check 'another instance was not asked for a pause' 200 "$(status 22 /ok/3 p3)"
kill -STOP "${pid_of[21]}"
sleep 1.5
kill -CONT "${pid_of[21]}"
sleep 1.2
check 'it is used again after its pause' 200 "$(status 21 /ok/4 p4)"
check 'pauses are counted' 1 "$(($(metric 21 'celeryford_server_pauses_total{}') > 0))"

# A server that is leaving; only one instance learns of it, which is cut off.
announce s-2 "$s_2"
until_says 'server=s-2' cat "$dir/i21.log"
for n in 11 12 13; do kill -STOP "${pid_of[$n]}"; done
for i in $(seq 20); do status 21 "/leave/$i" "l$i" >/dev/null; [ "$(got s-1 /leave/)" = 0 ] || break; done
check 'a server has said that it leaves' 1 "$(($(got s-1 /leave/) > 0))"
count() { echo "$(got s-1 "/$1/") $(got s-2 "/$1/")"; }
# If the other server got such a request, it is leaving too and none is left.
before=$(got s-1 /ok/)
for i in $(seq 20); do status 21 "/ok/c$i" "c$i" >/dev/null; done
for i in $(seq 5); do status 21 "/stream/c$i" "cs$i" -d x >/dev/null; done
check 'nothing more goes there although no control is in reach' "$before 0" \
    "$(got s-1 /ok/) $(got s-1 /stream/)"
for n in 11 12 13; do kill -CONT "${pid_of[$n]}"; done
until_says 'server=s-1 state=draining' cat "$dir/i22.log"
check 'the other instance hears of it' 0 $?
before=$(got s-1 /ok/)
announce s-1 "$s_1"
for i in $(seq 10); do status 22 "/ok/d$i" "d$i" >/dev/null; done
check 'a later announcement of that life does not bring it back' "$before" "$(got s-1 /ok/)"

# A restarted instance learns which servers left; a later life of such a server
# is used again.
end_now 21
entry 21 --retry-window-ms 1000
sleep 2
before=$(got s-1 /ok/)
for i in $(seq 10); do status 21 "/ok/e$i" "e$i" >/dev/null; done
check 'an instance that starts again hears of it' "$before" "$(got s-1 /ok/)"
started=$((started + 1000))
announce s-1 "$s_1"
served() { [ "$(status 21 /ok/f f1)" = 200 ] && [ "$(got s-1 /ok/)" -gt "$before" ]; }
for _ in $(seq 100); do served && break; sleep 0.05; done
served
check 'its next life is used again' 0 $?
