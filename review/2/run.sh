#!/bin/bash
# Streams of one service, of whose four servers two, with TROUBLE, spoil one of 34
# answers: they send bytes that are no answer, without end.  Callers of another service, whose servers are
# sound, ask the same entry instance meanwhile.
. "$(dirname "$0")/../common.bash"

garbage=34
[ "$trouble" != 0 ] || garbage=0
start_system 21
server a1 9001 app body=100
server a2 9002 app body=100
server m1 9003 llm events=5 gap=10
server m2 9004 llm events=5 gap=10
server m3 9005 llm events=5 gap=10 garbage=$garbage
server m4 9006 llm events=5 gap=10 garbage=$garbage
operator PUT /api/config '{"version":1,"routes":[
{"name":"m","host":"h.example","path_prefix":"/m/","kind":"streaming","timeout_ms":25000,
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

# served N: how many streams the server N got.
served() { grep -c " server $1 runs" "$record"; }
# Streams until both have begun their 34th answer.
for i in $(seq 300); do
	call m "m$i" 25000 >"$dir/m$i" &
	sleep 0.04
	[ "$(served m3)" -lt 34 ] || [ "$(served m4)" -lt 34 ] || break
done
[ "$(served m3)" -ge 34 ] && [ "$(served m4)" -ge 34 ] || finish 2
sleep 9
calls=
for i in $(seq 60); do
	ask "c$i" &
	calls="$calls $!"
	sleep 0.1
done
wait $calls
note "streams at m3: $(served m3), at m4: $(served m4), of these without end: $(grep -c ' sends bytes' "$record")"
note "callers of the sound service: $(cat "$dir"/c* | cut -d' ' -f2 | sort | uniq -c | tr '\n' ' ')"
over=$(cat "$dir"/c* | awk '$1 > 600' | wc -l)
late=$(cat "$dir"/c* | grep -c 'status=0')
note "of 60, without an answer at the route's timeout (600 ms): $over; 0.5 s later: $late"
grep -h 'event=suspended\|event=isolated' "$dir/n21.log" | head -n 4 | tee -a "$record"
[ "$late" -ge 8 ] && [ $((late * 4)) -gt "$over" ] && finish 1
finish 0
