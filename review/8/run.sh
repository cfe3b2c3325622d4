#!/bin/bash
# A server says farewell to one control instance (DELETE without draining
# before), which acknowledges it and loses power and disk right after.  It comes
# back a second later with an empty folder.  No request may reach the server
# later than drain-ms after the acknowledgement.
. "$(dirname "$0")/../common-2.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"r","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"s","max_attempts":2,"public":false}],
"services":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-of-w"],"priority":1}]}
END
}

for n in 11 12 13; do state $n true; done
for n in 21 22; do entry $n; done
put 1 >"$dir/put" || give_up 'the document is not acknowledged'
server s-1 31
server s-2 32
await_entries key-of-w 21 22
both_run() { grep -q ran "$dir/s-1.ran" && grep -q ran "$dir/s-2.ran"; }
for i in $(seq 40); do
	both_run && break
	ask 21 "/first/$i" "a$i" key-of-w >/dev/null
	ask 22 "/first/$i" "b$i" key-of-w >/dev/null
done
both_run || give_up 'one of the servers gets no requests'
sleep 4 # all instances are in touch

# The farewell.  The server serves on, and says in its answers that it leaves.
kill "${pid_of[s-1.beat]}"
born=$(sed -n 's/^born //p' "$dir/s-1.born")
victim=
[ "$trouble" = 1 ] && victim=${pid_of[12]}
kill -USR1 "${pid_of[s-1]}"
# shellcheck disable=SC2086
$stand leave s-1 "$born" "127.0.0.12:$control" $victim >"$dir/left" ||
	give_up 'the farewell is not acknowledged'
t=$(cut -d' ' -f2 "$dir/left")
note "i12 acknowledges the farewell of s-1: $(cat "$dir/left")"
if [ "$trouble" = 1 ]; then
	sleep 1
	rm -rf "$dir/data12"
	state 12 false
	note "$(now_ms) i12 starts again with an empty folder"
fi

# contact-ms after that start all instances are in touch again.
while [ "$(now_ms)" -lt $((t + 4300)) ]; do sleep 0.05; done
for i in $(seq 12); do
	for n in 21 22; do
		note "i$n: $(ask $n "/late/$i" "l$n$i" key-of-w)"
	done
done
sleep 0.2
late=$(awk -v t="$t" '$1 == "ran" && $5 ~ "^/late/" && $2 > t + 2000' "$dir/s-1.ran" | wc -l)
other=$(grep -c ' /late/' "$dir/s-2.ran")
{ sed 's/^/s-1 /' "$dir/s-1.ran"; sed 's/^/s-2 /' "$dir/s-2.ran"; } >>"$record"
note "later than 2,000 ms after the acknowledgement: $late requests at s-1, $other at s-2"
[ $((late + other)) -gt 0 ] || give_up 'no late request ran'
[ "$late" -eq 0 ] && finish 0
finish 1
