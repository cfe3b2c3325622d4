#!/bin/bash
# A backend server that stalls in a stream and sends a byte now and then: the
# stream goes on at another server.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":20000,"goal_ms":500,"gap_target_ms":400,"max_attempts":3,"resumable":true,"service":"s"},
{"name":"ok","host":"h.example","path_prefix":"/ok/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"sound"}],
"services":[{"name":"s","max_connections":1000},{"name":"sound","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
announce_as() {	# announce_as SERVICE ID ADDRESS
	seq_no=$((seq_no + 1))
	curl -s -m 1 -o /dev/null -X PUT -d "{\"service\":\"$1\",\"address\":\"$3\",
	    \"zone\":\"a\",\"version\":\"v1\",\"slots\":100,\"state\":\"ready\",
	    \"cold_left_ms\":0,\"seq\":$seq_no,\"born\":$started}" \
	    "http://127.0.0.11:$control/api/instances/$2"
}
for n in 11 12 13; do state $n true; done
entry 21 --retry-window-ms 2000 --retry-slack 400
start sound cf-fake-server sound-1 127.0.0.1:0
sound=$addr
start streams cf-fake-server s-1 127.0.0.1:0
streams=$addr
start drip cf-fake-faulty
drip=$addr
put 1 4000
keep_announcing() {
	while sleep 1; do
		announce_as sound sound-1 "$sound"
		announce_as s s-1 "$streams"
		announce_as s s-2 "$drip"
	done
}
keep_announcing &
pids="$pids $!"
await_entries 21
until_says 'server=s-1' cat "$dir/i21.log"
until_says 'server=s-2' cat "$dir/i21.log"

# Some of the streams begin at the server that stalls.  The retry budget of an
# instance that has just started is empty for two seconds.
whole=$(printf 'id: %s\ndata: %s\n\n' 1 1 2 2 3 3 4 4 5 5)
for i in $(seq 12); do
	got=$(ask 21 "/s/drip/stream/$i" "d$i" -d x)
	check "stream $i is whole" "$whole" "$got"
done
check 'some of them stalled' 1 "$(($(grep -c got "$dir/drip.out") > 0))"
check 'and were moved' 1 "$(($(grep -c 'event=attempt_silent' "$dir/i21.log") > 0))"
