#!/bin/bash
# Guards against documents that the log accepts and no link carries: one close to
# the largest body whose every route changes is acknowledged and obeyed, before
# and after the loss of the leader, and so is the order after it.
. "$(dirname "$0")/gateway.bash"

routes=13000
# document VERSION TIMEOUT: some 3.9 MB; the time-out is that of all routes.
document() {
	awk -v version="$1" -v timeout="$2" -v routes=$routes 'BEGIN {
		printf "{\"version\":%d,\"routes\":[", version
		for (i = 0; i < routes; i++)
			printf "%s\n{\"name\":\"route-%05d\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\",\"kind\":\"idempotent\",\"timeout_ms\":%d,\"goal_ms\":1000,\"priority\":0,\"max_attempts\":3,\"public\":false,\"resumable\":false,\"gap_target_ms\":%d,\"service\":\"s\",\"methods_that_nobody_reads\":\"%s\"}", i ? "," : "", i, i ? i : "ok", timeout, timeout, "0123456789012345678901234567890123456789012345678901234567890123456789"
		printf "],\"services\":[{\"name\":\"s\",\"max_connections\":100}],\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k1\"]}]}"
	}' >"$dir/document.$1"
	cat "$dir/document.$1"
}
# put_large VERSION TIMEOUT: as put, with more time for each try.
put_large() {
	local n code
	document "$1" "$2" >/dev/null
	for _ in $(seq 40); do
		for n in 11 12 13; do
			code=$(curl -s -L -m 5 -o /dev/null -w '%{http_code}' -X PUT \
			    -H 'Content-Type: application/json' --data-binary "@$dir/document.$1" \
			    "http://127.0.0.$n:$control/api/config")
			[ "$code" != 200 ] || return 0
		done
		sleep 0.2
	done
	return 1
}
deadline() { ask 21 /ok/1 "$1" -o /dev/null -D - | tr -d '\r' | sed -n 's/^X-Deadline: *//p'; }
obeys() {	# obeys TIMEOUT: waits until the entry uses the time-out
	local got
	for _ in $(seq 50); do
		announce s-1 "$server"
		got=$(deadline "d$RANDOM")
		[ "${got:-0}" -gt $(($1 - 300)) ] && [ "$got" -le "$1" ] && return 0
		sleep 0.1
	done
	return 1
}
for n in 11 12 13; do state $n true; done
entry 21
start server cf-fake-server s-1 127.0.0.1:0
server=${addr##*:}
put_large 1 4000
check 'a document is acknowledged' 0 $?
echo "      $(wc -c <"$dir/document.1") bytes"
obeys 4000
check 'and obeyed' 0 $?
put_large 2 3000
check 'so is one that changes all routes' 0 $?
obeys 3000
check 'and obeyed' 0 $?
leader=$(cat "$dir"/i1?.log | sed -n 's/.*event=leader term=\([0-9]*\) instance=127.0.0.\([0-9]*\) .*/\1 \2/p' |
    sort -n | tail -1 | cut -d' ' -f2)
end_now "$leader"
put_large 3 2000
check 'after the loss of the leader too' 0 $?
obeys 2000
check 'and obeyed' 0 $?
state "$leader" false
put_large 4 2500
check 'and the next one' 0 $?
for n in 11 12 13; do
	for _ in $(seq 50); do
		got=$(curl -s -L -m 2 "http://127.0.0.$n:$control/api/config" | sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -1)
		[ "$got" = 4 ] && break
		sleep 0.1
	done
	check "i$n reads the newest one back" 4 "$got"
done
printf '%05000000d' 0 >"$dir/too-large"
check 'a larger body is refused with its status' 413 "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
    -X PUT -H 'Content-Type: application/json' --data-binary "@$dir/too-large" \
    "http://127.0.0.12:$control/api/config")"
check 'no message was too large for a link' 0 "$(cat "$dir"/i*.log | grep -c 'event=message_too_large')"
