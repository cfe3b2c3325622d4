#!/bin/bash
# Servers that say that they are brittle, let fewer requests wait 3 s later and
# end when they turn more than three away within a second: few of them end, and
# callers are served nearly as often as by the same servers when none ends.
. "$(dirname "$0")/crashing.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":4000,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

servers='1 2 3 4 5 6 7 8'
entries='21 22 23'
slots=4 # of 400 ms each: all servers carry 80 calls a second
for n in 11 12 13; do state $n true; done
for n in $entries; do entry $n --retry-share 0.9 --retry-window-ms 1000; done
put 1 8000

set_server() { curl -s -m 1 -o /dev/null "http://127.0.0.1:$((base + 100 + $1))/$2"; }
set_all() { for i in $servers; do set_server "$i" "$1"; done; }
on_new_life() {
	sleep 0.1
	[ ! -e "$dir/brittle" ] || set_server "$1" "set-brittle/$(cat "$dir/brittle")"
	[ ! -e "$dir/room" ] || set_server "$1" "set-room/$(cat "$dir/room")"
}
for n in $servers; do
	keep_serving "$n" &
	supervisors="$supervisors $!"
done
await_entries $entries
sleep 1.5
turned_away() { cat "$dir"/lives/* | grep -c turned-away; }
call() {
	ask "$1" "/ok/work/$2" "$2" -o /dev/null -w '%{http_code}\n' >>"$dir/answers"
}
# load NAME RATE SECONDS: sets $rate to the calls served in 10 s, during the load
# only: servers that are overloaded serve on after it.
load() {
	local i=0 begin now until all
	# shellcheck disable=SC2206
	all=($entries)
	: >"$dir/answers"
	calls=
	begin=$(date +%s%3N)
	until=$((begin + $3 * 1000))
	while now=$(date +%s%3N) && [ "$now" -lt $until ]; do
		while [ $((i * 1000)) -lt $(((now - begin) * $2)) ]; do
			i=$((i + 1))
			call "${all[i % ${#all[@]}]}" "$1$i" &
			calls="$calls $!"
		done
		sleep 0.02
	done
	rate=$(($(grep -c '^200$' "$dir/answers") * 10 / $3))
	# shellcheck disable=SC2086
	wait $calls
}
# trial NAME RATE: before, none is brittle; then all are.
trial() {
	local before ends away sound
	rm -f "$dir/brittle" "$dir/room"
	set_all set-room/12
	set_all set-brittle/
	load "$1a" "$2" 6
	sound=$rate
	echo 3 >"$dir/brittle"
	set_all set-brittle/3
	before=$(ended) away=$(turned_away)
	load "$1b" "$2" 3
	echo 2 >"$dir/room"
	set_all set-room/2
	load "$1c" "$2" "${CF_TEST_LONG:-8}"
	ends=$(($(ended) - before)) away=$(($(turned_away) - away))
	echo "      $1: $ends ended, $away turned away, $rate served in 10 s, $sound when none is brittle"
	check "$1: at most 2 and a tenth of the servers end" 1 "$((ends <= 2))"
	check "$1: at most a tenth fewer are served" 1 \
	    "$((rate * 10 >= sound * 9))"
}
trial busy 76
trial over 120
entries='21 22 23 24 25 26 27 28 29 30 31 32'
for n in 24 25 26 27 28 29 30 31 32; do
	entry $n --retry-share 0.9 --retry-window-ms 1000
done
await_entries $entries
sleep 3
trial many 76
[ -z "${CF_TEST_LONG:-}" ] || trial crowd 120
rm "$dir/serving"
# shellcheck disable=SC2086
wait $supervisors 2>/dev/null
