#!/bin/bash
# Guards against requests that an entry takes late in its grace period and then
# closes without an answer: callers on kept connections, and new ones, ask until
# the process is gone, of servers that take up to 2 s, and one that never
# answers.  Each request that was read gets an answer.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"work","host":"h.example","path_prefix":"/work/","kind":"idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":2,"service":"s"},
{"name":"once","host":"h.example","path_prefix":"/work/once/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":2,"service":"s"},
{"name":"hang","host":"h.example","path_prefix":"/hang/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":1,"service":"s"},
{"name":"ok","host":"h.example","path_prefix":"/ok/","kind":"idempotent","timeout_ms":4000,"goal_ms":1000,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
rounds=${CF_TEST_SHORT:-2}
slots=20
for n in 11 12 13; do state $n true; done
ports=
for i in 1 2 3; do
	start "server$i" cf-fake-server "s-$i" 127.0.0.1:0
	ports="$ports ${addr##*:}"
	curl -s -o /dev/null -H "Celeryford-Request-Id: x" "http://$addr/set-room/16"
done
announce_all() {
	local i=0
	for port in $ports; do
		i=$((i + 1))
		announce "s-$i" "$port"
	done
}
put 1 9000
# callers ROUND: 60 callers without a pause until connections are refused.
callers() {
	local path i
	for i in $(seq 60); do
		path=/work/
		[ $((i % 3)) -ne 0 ] || path=/work/once/
		[ $((i % 20)) -ne 0 ] || path=/hang/
		curl -s -m 20 --rate 50/s --fail-early -H 'Host: h.example' \
		    -H "Celeryford-Request-Id: c$1-$i" -H 'Authorization: Bearer k1' \
		    -o /dev/null -w '%{http_code} %{exitcode} %{errormsg}\n' \
		    "http://127.0.0.21:$front$path[1-1000]" >"$dir/calls.$1.$i" &
		loads="${loads:-} $!"
	done
}
for round in $(seq "$rounds"); do
	announce_all
	entry 21 --retry-slack 1000
	await_entries 21
	callers "$round"
	for _ in 1 2 3; do sleep 1; announce_all; done
	from=$(date +%s%3N)
	kill "${pid_of[21]}"
	wait "${pid_of[21]}"
	took=$(($(date +%s%3N) - from))
	check "round $round: it ends within its grace period" 1 "$((took < 4000))"
	# shellcheck disable=SC2086
	wait $loads
	loads=
done
cat "$dir"/calls.* >"$dir/calls"
cut -d' ' -f1,2 "$dir/calls" | sort | uniq -c | sed 's/^/      /'
check 'callers were served' 1 "$(($(grep -c '^200 0' "$dir/calls") > 50))"
check 'no request that was read ends without an answer' 0 \
    "$(grep -c -E '^[0-9]+ (52|56|18|16)' "$dir/calls")"
check 'what may have run is told so' "$((3 * rounds))" "$(grep -c '^504' "$dir/calls")"
grep -E '^[0-9]+ (52|56|18|16)' "$dir/calls" | sort | uniq -c | head -5
