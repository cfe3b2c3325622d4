#!/bin/bash
# Streams of one service, of whose two servers one, with TROUBLE, sends bytes that
# are no answer, without end.  Callers of another service, whose servers are
# sound, ask the same entry instance meanwhile.
. "$(dirname "$0")/../common.bash"

garbage=1
[ "$trouble" != 0 ] || garbage=0
start_system 21
server a1 9001 app body=100
server a2 9002 app body=100
server m1 9003 llm events=100 gap=100
server m2 9004 llm events=100 gap=100 garbage=$garbage
operator PUT /api/config '{"version":1,"routes":[
{"name":"m","host":"h.example","path_prefix":"/m/","kind":"streaming","timeout_ms":20000,
"goal_ms":1000,"priority":0,"service":"llm","max_attempts":3,"public":false,
"resumable":false,"gap_target_ms":800},
{"name":"a","host":"h.example","path_prefix":"/a/","kind":"idempotent","timeout_ms":600,
"goal_ms":100,"priority":0,"max_attempts":2,"service":"app"}],
"services":[{"name":"llm","max_connections":360},{"name":"app","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key1"]}]}' || finish 2

call() {	# call PATH ID DEADLINE OPTIONS...
	printf 'GET /%s/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\nCeleryford-Deadline-Ms: %d\r\nCeleryford-Request-Id: %s\r\nConnection: close\r\n\r\n' \
	    "$1" "$2" "$3" "$2" | "$peer" call "$net.21:8227" "$2" "$record" "${@:4}"
}
now_ms() { date +%s%3N; }
# ask ID: a request of the sound service; notes the answer and how long it took,
# at most 0.5 s beyond the route's timeout.
ask() {
	local from answer
	from=$(now_ms)
	answer=$(call a "$1" 600 wait=1100)
	echo "$(($(now_ms) - from)) $answer" >"$dir/$1"
}
await call a warm 600 || finish 2
sleep 3

for i in $(seq 12); do
	call m "m$i" 20000 >"$dir/m$i" &
done
sleep 3
calls=
for i in $(seq 60); do
	ask "c$i" &
	calls="$calls $!"
	sleep 0.1
done
wait $calls
grep -c ' server m2 runs' "$record" | sed 's/^/streams at the server m2: /' | tee -a "$record"
note "callers of the sound service: $(cat "$dir"/c* | cut -d' ' -f2 | sort | uniq -c | tr '\n' ' ')"
over=$(cat "$dir"/c* | awk '$1 > 600' | wc -l)
late=$(cat "$dir"/c* | grep -c 'status=0')
note "of 60, without an answer at the route's timeout (600 ms): $over; 0.5 s later: $late"
grep -h 'event=suspended\|event=isolated' "$dir/n21.log" | head -n 4 | tee -a "$record"
[ "$late" -ge 8 ] && [ $((late * 4)) -gt "$over" ] && finish 1
finish 0
