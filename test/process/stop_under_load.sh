#!/bin/bash
# An entry that is told to stop under load answers every request that it has
# accepted: callers keep using their connections, and open new ones, until it
# refuses them.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"goal_ms":1000,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
for n in 11 12 13; do state $n true; done
slots=1000
start server cf-fake-server s-1 127.0.0.1:0
server=$addr
# callers ROUND: calls without a pause, each on the connection of the last one
# where that is kept, until connections are refused.
callers() {
	local path
	for i in $(seq 12); do
		path=/ok/
		[ $((i % 3)) -ne 0 ] || path=/stream/
		curl -s -m 20 --rate 100/s --fail-early -H 'Host: h.example' \
		    -H 'Celeryford-Request-Id: l1' -H 'Authorization: Bearer k1' \
		    -o /dev/null -w '%{http_code} %{exitcode} %{errormsg}\n' \
		    "http://127.0.0.21:$front$path[1-2000]" >"$dir/calls.$1.$i" &
		loads="${loads:-} $!"
	done
}
put 1 4000
announce s-1 "${server##*:}"
for round in 1 2 3 4 5 6; do
	entry 21 --retry-slack 100
	await_entries 21
	callers "$round"
	sleep 0.5
	kill "${pid_of[21]}"
	# shellcheck disable=SC2086
	wait $loads
	loads=
	wait "${pid_of[21]}"
	announce s-1 "${server##*:}"
done
cat "$dir"/calls.* >"$dir/calls"
cut -d' ' -f1,2 "$dir/calls" | sort | uniq -c | sed 's/^/      /'
check 'callers were served' 1 "$(($(grep -c '^200 0' "$dir/calls") > 1000))"
check 'no accepted request is cut off' 0 "$(grep -c -E '^[0-9]+ (52|56|18|16)' "$dir/calls")"
grep -E '^[0-9]+ (52|56|18|16)' "$dir/calls" | sort | uniq -c | head -5
