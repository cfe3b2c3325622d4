#!/bin/bash
# An entry that loses its connections to all servers, which the other entries
# still reach: from 3 s later on its callers are served as well as the others',
# nothing runs twice, and no server counts as crashed.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":500,"max_attempts":3,"service":"s"},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":500,"max_attempts":1,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"goal_ms":1000,"max_attempts":3,"resumable":true,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

servers='1 2 3 4 5 6'
entries='21 22 23'
lasts=${CF_TEST_SHORT:+7}
lasts=${lasts:-9} # seconds of each trial
for n in 11 12 13; do state $n true; done
start_entry() {
	entry "$1" --source-address "127.0.0.$1" --retry-share 0.9 --retry-window-ms 1000 \
	    --retry-slack 600 --grace-ms 8000
}
for n in $entries; do start_entry $n; done
links=
for i in $servers; do
	start "s-$i" cf-fake-server "s-$i" 127.0.0.1:0
	links="$links --link 127.0.0.1:0=$addr"
done
# shellcheck disable=SC2086
start relay cf-relay $links --control 127.0.0.1:0
relay=$addr
until [ "$(grep -c '^relays ' "$dir/relay.out")" = 6 ]; do sleep 0.01; done
mapfile -t port < <(sed -n 's/^relays .*://p' "$dir/relay.out")
order() { curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST "http://$relay/$1"; }
slots=50
announce_all() { for i in $servers; do announce "s-$i" "${port[i - 1]}"; done; }
keep_announcing() { while sleep 1; do announce_all; seq_no=$((seq_no + 100)); done; }
put 1 4000
announce_all
await_entries $entries
keep_announcing &
announcer=$!
pids="$pids $announcer"

now_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
# call N KIND ID: one request; appends when it was sent, its kind and status.
call() {
	local at path
	at=$(now_ms)
	case $2 in
	ok) path=/ok/$3 ;;
	once) path=/once/ok/$3 ;;
	stream) path=/s/prompt/$3 ;;
	esac
	echo "$at $2 $(ask "$1" "$path" "$3" -X POST -d "$3" -o "$dir/body.$3" -w '%{http_code}') $3" \
	    >>"$dir/calls.$1"
}
callers() {	# callers N TRIAL: calls of all kinds to an entry until $dir/load is gone
	local i=0 kind
	while [ -e "$dir/load" ]; do
		for kind in ok once stream; do
			i=$((i + 1))
			call "$1" $kind "$2$1$(printf %04x $i)" &
		done
		sleep 0.15
	done
	wait
}
# share N FROM_MS KINDS: "SERVED OF" of an entry's calls sent later than that.
share() {
	awk -v from="$2" -v kinds="$3" '$1 >= from && index(kinds, $2) {
	    of++; served += $3 == 200 } END { print served + 0, of + 0 }' "$dir/calls.$1"
}
# crash_lines: what entry 21 has said of crashed servers.
crash_lines() { grep -cE 'event=(crash_seen|crash_mark)' "$dir/i21.log"; }

trial() {	# trial KIND: entry 21 is isolated from all servers
	local kind=$1 from n bad failed of served others_served others_of crashes cut id
	rm -f "$dir"/calls.*
	crashes=$(crash_lines)
	touch "$dir/load"
	loads=
	for n in $entries; do
		callers "$n" "$kind" &
		loads="$loads $!"
	done
	sleep 2
	check "$kind: the relay isolates the entry" 200 "$(order "isolate?from=127.0.0.21&kind=$kind")"
	from=$(now_ms)
	sleep "$lasts"
	rm "$dir/load"
	# shellcheck disable=SC2086
	wait $loads
	read -r served of < <(share 21 $((from + 3000)) 'ok once stream')
	others_served=0 others_of=0
	for n in 22 23; do
		read -r bad failed < <(share $n $((from + 3000)) 'ok once stream')
		others_served=$((others_served + bad)) others_of=$((others_of + failed))
	done
	echo "      $kind: $served of $of served from 3 s on, $others_served of $others_of at the others"
	check "$kind: as many are served there as elsewhere, less a third" 1 \
	    "$((of >= 20 && served * others_of * 3 >= others_served * of * 2))"
	check "$kind: no more than 10 and 1 in 50 fail there" 1 \
	    "$((of - served <= 10 + (of + others_of) / 50))"
	check "$kind: the others serve all but 1 in 50" 1 \
	    "$((others_served * 50 >= others_of * 49))"
	check "$kind: no server counts as crashed" "$crashes" "$(crash_lines)"
	check "$kind: nothing that may run once runs twice" '' \
	    "$(cat "$dir"/s-?.out | grep -o '/once/.*' | sort | uniq -d)"
	cut=$(awk '$2 == "stream" && $3 == 200 {print $4}' "$dir"/calls.* |
	    while read -r id; do [ "$(grep -c '^id: ' "$dir/body.$id")" = 5 ] || echo "$id"; done)
	check "$kind: streams are whole" '' "$cut"
	[ -z "$cut" ] || sleep 1 # the log buffers lines for a moment
	for id in $cut; do
		cat "$dir/body.$id" "$dir"/i2?.log | grep -E "^id: |request=$id |event=(path|isolated|suspended)"
	done
	order mend >/dev/null
	rm -f "$dir"/body.*
	sleep 3
	check "$kind: mended, it serves" 200 "$(status 21 /ok/back "${kind}b")"
}
trial silent
trial reset
trial new
# The entries that reach the servers restart, and shut down at the same time.
rm -f "$dir"/calls.*
check 'restarts: the relay isolates the entry' 200 "$(order 'isolate?from=127.0.0.21&kind=silent')"
sleep 2
touch "$dir/load"
callers 21 restarts &
load=$!
sleep 1
from=$(now_ms)
for n in 22 23; do
	kill -TERM "${pid_of[$n]}"
	sleep 0.5
done
for n in 22 23; do
	wait "${pid_of[$n]}"
	start_entry $n
done
sleep 2
rm "$dir/load"
wait $load
read -r served of < <(share 21 "$from" 'ok once stream')
echo "      restarts: $served of $of served while the others restart"
check 'restarts: two thirds are served at the first attempt' 1 "$((of >= 20 && served * 3 >= of * 2))"
check 'restarts: nothing that may run once runs twice' '' \
    "$(cat "$dir"/s-?.out | grep -o '/once/.*' | sort | uniq -d)"
order mend >/dev/null
rm -f "$dir"/body.*
sleep 3
# The entry that a request was forwarded to ends while it runs a second time.
check 'killed: the relay isolates the entry' 200 "$(order 'isolate?from=127.0.0.21&kind=silent')"
sleep 3
loads=
for i in $(seq 12); do
	status 21 "/ok/slow-error/e$i" "e$i" -X POST -d "$i" >/dev/null &
	loads="$loads $!"
done
slow_errors() { cat "$dir"/s-?.out | grep -o '/slow-error/e.*' | sort; }
for _ in $(seq 200); do
	[ "$(slow_errors | uniq -d | wc -l)" -lt 6 ] || break
	sleep 0.02
done
end_now 22 2>/dev/null
# shellcheck disable=SC2086
wait $loads
most=$(slow_errors | uniq -c | sort -n | tail -1 | awk '{print $1}')
echo "      killed: $(grep -c event=forward_failed "$dir/i21.log") forwarded again, at most ${most:-0} runs"
check 'killed: no request runs more often than its route allows' 1 "$((${most:-0} <= 3))"
check 'killed: some had run twice before' 1 "$((${most:-0} >= 2))"
# An entry that has lost a service without servers takes requests again.
kill "$announcer"
for i in $servers; do
	curl -s -m 1 -o /dev/null -X DELETE "http://127.0.0.11:$control/api/instances/s-$i"
done
until_says event=servers_gone grep event=servers_gone "$dir/i21.log"
check 'gone: servers that are gone are not lost' 0 $?
check 'no request is refused for crashes' 0 "$(cat "$dir"/i2?.log | grep -c event=refused_for_crashes)"
