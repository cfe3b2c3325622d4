#!/bin/bash
# The retry budget holds when many requests fail together and wait for a server,
# and when all control instances restart.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/ok/","kind":"idempotent","timeout_ms":$2,"max_attempts":2,"service":"s"},
{"name":"full","host":"h.example","path_prefix":"/full/","kind":"idempotent","timeout_ms":$2,"goal_ms":1500,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

entries='21 22 23 24'
for n in 11 12 13; do state $n true; done
for n in $entries; do entry $n --retry-share 0.2 --retry-slack 8; done
start server1 cf-fake-server s-1 127.0.0.1:0
server1=${addr##*:}
start server2 cf-fake-server s-2 127.0.0.1:0
server2=${addr##*:}
put 1 3000
slots=200
announce s-1 "$server1"
announce s-2 "$server2"
await_entries $entries

# Sixty requests fail together and wait until a server may be tried again.
ask 21 '/full/[1-60]' burst -Z --parallel-immediate --parallel-max 60 >"$dir/burst" 2>&1
requests=$(metric 21 'celeryford_service_requests_total{service="s"}')
repeats=$(metric 21 'celeryford_service_repeats_total{service="s"}')
echo "      $requests requests, $repeats repeats"
check 'requests that wait are repeated within the budget' 1 \
    "$((repeats * 10 <= requests * 2 + 8 * 10))"
check 'those that got no repeat are told of it' 1 \
    "$(($(metric 21 'celeryford_repeats_refused_total{service="s"}') > 0))"

# While all control instances restart, no entry may take a larger part of the
# slack.
for n in $entries; do
	until_says '^4$' metric "$n" 'celeryford_retry_slack_instances{}'
	check "i$n knows how many entries there are" 0 $?
done
for n in $entries; do wc -l <"$dir/i$n.log" >"$dir/i$n.lines"; done
end_now 11 12 13
for n in 11 12 13; do state $n false; done
settled() { [ "$(metric "$1" 'celeryford_entry_instances{}')" = 4 ]; }
for n in 11 12 13; do
	for _ in $(seq 100); do settled $n && break; sleep 0.1; done
	settled $n
	check "i$n counts the entries again" 0 $?
done
smaller=$(for n in $entries; do
	tail -n +"$(cat "$dir/i$n.lines")" "$dir/i$n.log" |
	    grep -h 'event=entry_instances' | grep -E 'count=[0-3] '
done)
check 'no entry divides the slack by fewer instances than there are' '' "$smaller"

# Attempts at unreachable servers never arrive and must not use up the budget.
put 2 3000
await_entries 23
left() { metric 23 'celeryford_retry_budget_left{service="s"}'; }
before=$(left)
for gone in 1 2 3; do announce "gone-$gone" 1; done
until_says 'server=gone-3' cat "$dir/i23.log"
ask 23 '/ok/[1-20]' reach -Z --parallel-max 4 -o /dev/null -w '%{http_code}\n' >"$dir/reach"
check 'all are served although some servers are out of reach' 20 "$(grep -c 200 "$dir/reach")"
check 'and their budget is as it was or more' 1 "$(($(left) >= before))"
