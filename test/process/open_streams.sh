#!/bin/bash
# Streams with neither a length nor chunks, which end with their connection: one
# that ends within an event was broken off and goes on at another server.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"resumable","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"goal_ms":500,"gap_target_ms":400,"max_attempts":3,"resumable":true,"service":"s"},
{"name":"once","host":"h.example","path_prefix":"/","kind":"streaming","timeout_ms":$2,"goal_ms":500,"gap_target_ms":400,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
for n in 11 12 13; do state $n true; done
entry 21 --retry-window-ms 1000 --retry-share 0.9 --retry-slack 400
for i in 1 2; do
	start "open-$i" cf-fake-faulty
	port[i]=${addr##*:}
done
put 1 4000
slots=100
for i in 1 2; do announce "s-$i" "${port[i]}"; done
for _ in $(seq 100); do
	[ "$(status 21 /s/open/1 w1)" = 200 ] && break
	sleep 0.1
done

for i in $(seq 40); do ask 21 /s/open/1 "w$i" -o /dev/null; sleep 0.05; done

events() { tr '\n' ' ' | sed 's/  */ /g; s/ $//'; }
whole='id: 1 data: 1 id: 2 data: 2 id: 3 data: 3'
check 'a whole one' "$whole" "$(ask 21 /s/open/1 o1 | events)"
check 'one that ends within an event goes on' "$whole" "$(ask 21 /s/open-cut/1 c1 | events)"
out=$(ask 21 /open-cut/2 c2)
ended=$?
check 'or ends as one that was broken off' 18 "$ended"
check 'without a part of an event' 'id: 1 data: 1' "$(echo "$out" | events)"
