#!/bin/bash
# Many large request bodies at once: the entry's memory stays within its limit,
# each request is served or refused as not run, others are served meanwhile, and
# the memory is given back.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"all","host":"h.example","path_prefix":"/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":2,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}
callers=160
body_bytes=4194304
memory_max_kb=262144 # of an instance, docs/CAPACITY.md
memory_after_kb=98304

for n in 11 12 13; do state $n true; done
entry 21
start good cf-fake-server s-1 127.0.0.1:0
put 1 8000
slots=400
announce s-1 "${addr##*:}"
touch "$dir/serving"
while [ -e "$dir/serving" ]; do announce s-1 "${addr##*:}"; sleep 1; done &
announcer=$!
await_entries 21
head -c $body_bytes /dev/zero >"$dir/body"
memory_kb() { sed -n "s/^$1:[^0-9]*\([0-9]*\).*/\1/p" "/proc/${pid_of[21]}/status"; }
echo "      idle $(memory_kb VmRSS) KB"

mkdir "$dir/heads"
# AddressSanitizer keeps freed memory, so its figures say nothing.
memory_below() {	# memory_below WHAT FIELD KB
	if ldd "$build/celeryford-gateway" | grep -q libasan; then
		echo "skip  $1, under AddressSanitizer"
	else
		check "$1" 1 "$(($(memory_kb "$2") < $3))"
	fi
}
# heads WHAT TEXT: counts the answers' heads with a line that matches.
heads() { grep -l "$2" "$dir/heads/$1"* 2>/dev/null | wc -l; }
# send_all WHAT CURL-FLAGS...: sends the body on so many connections at once,
# which stay in use, and small requests meanwhile.
send_all() {
	local what=$1 i n calls=
	shift
	for i in $(seq $callers); do
		curl -s -m 12 -H 'Host: h.example' -H 'Authorization: Bearer k1' \
		    -H "Celeryford-Request-Id: $what$i" -H 'Expect:' "$@" \
		    --data-binary @"$dir/body" -D "$dir/heads/$what$i" -o /dev/null \
		    "http://127.0.0.21:$front/slow/$what$i" \
		    --next -s -m 8 -H 'Host: h.example' -H 'Authorization: Bearer k1' \
		    -H "Celeryford-Request-Id: $what$i-open" -o /dev/null \
		    "http://127.0.0.21:$front/hang/1" &
		calls="$calls $!"
	done
	for _ in 1 2 3 4 5 6 7 8; do
		status 21 /ok/1 "$what-small" -m 2 >>"$dir/$what-small"
		echo >>"$dir/$what-small"
		sleep 0.2
	done
	until_says "^$callers\$" heads "$what" .
	n=$(heads "$what" '^HTTP/1.1 200')
	echo "      $what: $n served, peak $(memory_kb VmHWM) KB"
	check "$what: all are answered" $callers "$(heads "$what" .)"
	check "$what: as served, or as not run with a time to come back" $callers \
	    "$((n + $(heads "$what" '^Retry-After: [0-9]')))"
	check "$what: some are served" 1 "$((n >= 8))"
	check "$what: small requests are served meanwhile" 8 "$(grep -c '^200' "$dir/$what-small")"
	sleep 1
	echo "      $what: $(memory_kb VmRSS) KB afterwards"
	memory_below "$what: the memory is given back" VmRSS $memory_after_kb
	kill $calls 2>/dev/null
	wait $calls 2>/dev/null
}
send_all length
send_all chunks -H 'Transfer-Encoding: chunked'
memory_below 'within the limit' VmHWM $memory_max_kb
ran=$(grep -c '/slow/' "$dir/good.out")
check 'what was refused has not run' "$(heads '' '^HTTP/1.1 200')" "$ran"
rm "$dir/serving"
wait $announcer
