#!/bin/bash
# A roll-out that has ended is ordered again: the order is acknowledged, nothing
# starts, and the state and the log say so.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"all","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":2,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}
# order N: sends the roll-out to a control instance; prints the status.
order() {
	curl -s -L -m 2 -o /dev/null -w '%{http_code}' -X POST \
	    -H 'Content-Type: application/json' \
	    -d '{"service":"s","target":"v2","duration_s":1}' \
	    "http://127.0.0.$1:$control/api/rollouts"
}
state_of() { curl -s -L -m 2 "http://127.0.0.$1:$control/api/rollouts/s"; }

# announce_version VERSION ADDRESS
announce_version() {
	seq_no=$((seq_no + 1))
	curl -s -m 1 -o /dev/null -X PUT -d "{\"service\":\"s\",\"address\":\"$2\",
	    \"zone\":\"a\",\"version\":\"$1\",\"slots\":100,\"state\":\"ready\",
	    \"cold_left_ms\":0,\"seq\":$seq_no,\"born\":$started}" \
	    "http://127.0.0.11:$control/api/instances/s-$1"
}
# ended: sends requests; prints the state unless the roll-out still runs.
ended() {
	ask 21 '/ok/[1-40]' "r$RANDOM" -o /dev/null
	state_of 11 | grep -v running
}

for n in 11 12 13; do state $n true; done
entry 21
start old cf-fake-server s-v1 127.0.0.1:0
old=$addr
start new cf-fake-server s-v2 127.0.0.1:0
new=$addr
put 1 4000
touch "$dir/serving"
while [ -e "$dir/serving" ]; do
	announce_version v1 "$old"
	[ ! -e "$dir/has-new" ] || announce_version v2 "$new"
	sleep 0.5
done &
announcer=$!
await_entries 21
check 'the roll-out is acknowledged' 200 "$(order 11)"
check 'so is its repetition' 200 "$(order 12)"
has 'it runs' '"state":"running"' "$(state_of 11)"
touch "$dir/has-new"
until_says completed ended
check 'it is completed' 0 $?
for n in 11 12 13; do
	check "ordered again at i$n" 200 "$(order $n)"
done
has 'nothing has started' completed "$(state_of 12)"
says_known() { cat "$dir"/i1?.log | grep 'event=order kind=rollout'; }
until_says 'result=known service=s target=v2 ended=1' says_known
check 'and the log says so' 0 $?
rm "$dir/serving"
wait $announcer
