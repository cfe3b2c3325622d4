#!/bin/bash
# Answers whose model reports low confidence: another model is asked only where
# the request may run twice.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/ok/","kind":"idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":3,"service":"s"},
{"name":"repeatable","host":"h.example","path_prefix":"/repeatable/","kind":"idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":3,"sizes":["little","large"],"sticky":true,"service":"s"},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":3000,"max_attempts":3,"sizes":["little","large"],"sticky":true,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/stream-once/","kind":"streaming","timeout_ms":$2,"goal_ms":3000,"max_attempts":3,"sizes":["little","large"],"sticky":true,"service":"s"},
{"name":"resumable","host":"h.example","path_prefix":"/resumable/","kind":"streaming","resumable":true,"timeout_ms":$2,"goal_ms":3000,"max_attempts":3,"sizes":["little","large"],"sticky":true,"service":"s"}],
"services":[{"name":"s","max_connections":1000,"engine":{"slots":8,"kv_capacity_tokens":500000,"kv_token_bytes":1000,"link_mbps":1000.0,"models":[{"name":"little","cost":0.01},{"name":"large","cost":0.2}]}}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

for n in 11 12 13; do state $n true; done
entry 21 --retry-window-ms 1000 --retry-slack 400
start good cf-fake-server s-1 127.0.0.1:0
put 1 6000
# announce_models: announces the server with the models of the routes.
announce_models() {
	seq_no=$((seq_no + 1))
	curl -s -m 1 -o /dev/null -X PUT -d "{\"service\":\"s\",\"address\":\"$addr\",
	    \"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"stage\":\"both\",
	    \"models\":[{\"name\":\"little\",\"version\":1,\"adapters\":[]},
	    {\"name\":\"large\",\"version\":1,\"adapters\":[]}],
	    \"cold_left_ms\":0,\"seq\":$seq_no,\"born\":$started}" \
	    "http://127.0.0.11:$control/api/instances/s-1"
}
touch "$dir/serving"
while [ -e "$dir/serving" ]; do announce_models; sleep 1; done &
announcer=$!
await_entries 21
# The retry budget counts once the number of instances is known.
has_budget() {
	status 21 /ok/1 r2 >/dev/null
	grep 'request=r2 ' "$dir/i21.log" | sed -n 's/.* budget=\([0-9]*\).*/\1/p'
}
until_says '[0-9][0-9]' has_budget
check 'there is a retry budget' 0 $?

# eight PATH: sends eight such requests; prints how many were served, how often
# they ran and how many ran twice.
eight() {
	local i served=0
	for i in 1 2 3 4 5 6 7 8; do
		[ "$(status 21 "$1$i" "${1//\//-}$i" -H 'Celeryford-Model: *' \
		    -H 'Celeryford-Token-Usage: 100,50' \
		    -H "Celeryford-Prompt-Prefix: a$i:100")" != 200 ] || served=$((served + 1))
	done
	until_says "$1$i\$" cat "$dir/good.out"
	echo "$served $(grep -c "$1" "$dir/good.out") $(grep "$1" "$dir/good.out" | awk '{ print $3 }' | uniq -d | wc -l)"
}
check 'a repeatable request' '8 16 8' "$(eight /repeatable/unsure/)"
check 'a request that runs once' '8 8 0' "$(eight /once/unsure/)"
check 'a stream that can be resumed' '8 16 8' "$(eight /resumable/unsure-stream/)"
check 'a stream that runs once' '8 8 0' "$(eight /stream-once/unsure-stream/)"
rm "$dir/serving"
wait $announcer
