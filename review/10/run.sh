#!/bin/bash
# One status report of another writer names a service that no config has, at the
# address of a sound server.  It names no server to use, and the others hold: the
# sound server, which goes on reporting, must still be used.
. "$(dirname "$0")/../common-2.bash"

document() {
	local q=
	[ "$1" -eq 1 ] || q=',
{"name":"q","host":"h.example","path_prefix":"/q/","kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"s","max_attempts":2,"public":false}'
	cat <<END
{"version":$1,"routes":[
{"name":"r","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"t","max_attempts":2,"public":false}$q],
"services":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},
{"name":"t","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-of-w"],"priority":1}]}
END
}
# report SERVICE ADDRESS SEQ BORN: a status report.
report() {
	echo "{\"service\":\"$1\",\"address\":\"$2\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":$3,\"born\":$4}"
}

for n in 11 12 13; do state $n true; done
for n in 21 22; do entry $n; done
put 1 >"$dir/put" || give_up 'version 1 is not acknowledged'
server s-1 31 s
server t-1 32 t
await_entries key-of-w 21 22
put 2 >"$dir/put" || give_up 'version 2 is not acknowledged'
note "version 2 adds route q, of service s: $(cat "$dir/put")"
sleep 3
for n in 21 22; do
	for route in q r; do
		[ "$(status $n /$route/0 "b$n$route" key-of-w)" = 200 ] ||
		    give_up "i$n doesn't serve route $route"
	done
done
cat "$dir/s-1.ran" >>"$record"
note 'before: both routes are served at both entries, q by s-1'

if [ "$trouble" = 1 ]; then
	report not-here "127.0.0.31:$served" 1 "$(date +%s%3N)" >"$dir/other"
	note "another writer: PUT /api/instances/other-1 $(cat "$dir/other")"
	note "$($stand order PUT /api/instances/other-1 "$dir/other" "$controls")"
fi
sleep 3
for i in $(seq 40); do
	for n in 21 22; do
		echo "q $(status $n "/q/$i" "q$n$i" key-of-w)"
		echo "r $(status $n "/r/$i" "r$n$i" key-of-w)"
	done
	sleep 0.5
done >"$dir/answers"
sort "$dir/answers" | uniq -c | tee -a "$record"
note "s-1 itself: $($stand call "127.0.0.31:$served" GET /health)"
report s "127.0.0.31:$served" 100000 "$(sed -n 's/^born //p' "$dir/s-1.born")" >"$dir/own"
note "s-1 reports: PUT /api/instances/s-1 $(cat "$dir/own")"
note "$($stand order PUT /api/instances/s-1 "$dir/own" "$controls")"
q=$(grep -c '^q 200' "$dir/answers") r=$(grep -c '^r 200' "$dir/answers")
note "served in 20 s from 3 s after: $q of 80 on route q, $r of 80 on route r"
[ "$r" -gt 0 ] || give_up 'route r is not served either'
# Less than a quarter as often as on the first route, of as many requests each.
[ $((4 * q)) -ge "$r" ] && finish 0
finish 1
