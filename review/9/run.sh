#!/bin/bash
# A config is acknowledged that adds a route to a service with a name of 64
# characters.  Requests on that route have to be served as those on the first
# one are; and clients that nobody controls, each of which sends its next request
# when the last one was answered, must not take the entry beyond memory_mb, where
# the platform ends it.
. "$(dirname "$0")/../common-2.bash"

memory_kb=$((260 * 1024))
length=64
[ "$trouble" = 1 ] || length=63
service=$(printf 'document-drafting-llm-%042d' 0)
service=${service:0:$length}

document() {
	local route='' added=''
	if [ "$1" -ge 2 ]; then
		route=",{\"name\":\"r2\",\"host\":\"h.example\",\"path_prefix\":\"/drafts/\",\"kind\":\"idempotent\",\"timeout_ms\":3000,\"goal_ms\":1000,\"priority\":0,\"service\":\"$service\",\"max_attempts\":2,\"public\":false}"
		added=",{\"name\":\"$service\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}"
	fi
	cat <<END
{"version":$1,"routes":[
{"name":"r","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"s","max_attempts":2,"public":false}$route],
"services":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}$added],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-of-w"],"priority":1}]}
END
}
resident() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid_of[21]}/status" 2>/dev/null; }

for n in 11 12 13; do state $n true; done
entry 21
put 1 >"$dir/put" || give_up 'version 1 is not acknowledged'
server s-1 31
server s-2 32 "$service"
await_entries key-of-w 21
put 2 >"$dir/put" || give_up 'version 2 is not acknowledged'
note "version 2 adds a service with a name of ${#service} characters: $(cat "$dir/put")"
sleep 4

first=0 added=0
for i in $(seq 30); do
	a=$(ask 21 "/first/$i" "f$i" key-of-w) b=$(ask 21 "/drafts/$i" "d$i" key-of-w)
	note "$a; $b"
	case $a in *' 200 '*) first=$((first + 1)) ;; esac
	case $b in *' 200 '*) added=$((added + 1)) ;; esac
done
note "served: $first of 30 on the first route, $added of 30 on the added one"
[ $first -ge 20 ] || give_up 'the first route is not served'

before=$(resident)
$stand load "127.0.0.21:$front" /drafts/2 key-of-w 8 85 >"$dir/load" &
load=$!
pids="$pids $load"
most=$before
for i in $(seq 85); do
	sleep 1
	now=$(resident)
	[ -n "$now" ] || break
	[ "$now" -gt "$most" ] && most=$now
	[ $((i % 5)) -eq 0 ] && note "after $i s of load: $now kB resident"
	[ "$now" -gt $memory_kb ] && break
done
kill -0 $load 2>/dev/null || note "load: $(cat "$dir/load")"
note "resident: $before kB before the load, $most kB at most; memory_mb allows $memory_kb kB"
[ -n "$now" ] || note 'the process has ended'
[ -n "$now" ] && [ "$most" -le $memory_kb ] && [ $((added * 4)) -ge $first ] && finish 0
finish 1
