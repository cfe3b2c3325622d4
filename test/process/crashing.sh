#!/bin/bash
# Queries of death: how many backend servers they crash, and what still reaches
# servers after the third crash.  The same request is sent four times a second
# to the entries in turn, beside harmless requests.  A crashed server restarts
# after 2 s under a new id, or at once under its old id.
. "$(dirname "$0")/crashing.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"max_attempts":3,"resumable":true,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1","k2"]}]}
EOF
}

lasts=8 # duration of each trial in seconds
[ -z "${CF_TEST_SHORT:-}" ] || lasts=5
pause_us=250000 # interval between two requests
servers='1 2 3 4 5 6 7 8'
entries='21 22 23'
start_system

# Harmless requests: the same few, repeated at every entry.
innocent() {	# innocent N ENTRY
	local n=0
	while [ -e "$dir/serving" ]; do
		n=$((n + 1))
		ask "$2" "/s/stream/innocent$1" "in$1-$n" -d "body$1" -o /dev/null -w '%{http_code}\n' >>"$dir/innocent"
		sleep 0.05
	done
}
for n in 1 2 3 4 5 6; do
	innocent $n $((21 + n % 3)) &
	supervisors="$supervisors $!"
done

# late PATH: number of requests for PATH that reached a server more than 3 s
# after the third crash since $from.
late() {
	local third
	third=$(cat "$dir"/lives/* | sed -n 's/^crashed //p' | sort -n | awk -v from="$from" '$1 >= from' | sed -n 3p)
	[ -n "$third" ] || { echo 0; return; }
	cat "$dir"/lives/* | awk -v third="$third" -v path="$1" '$1 == "got" && $3 == path && $2 > third + 3000' | wc -l
}

# trial NAME PATH: sends the same request to the entries in turn for $lasts s,
# and counts the crashed servers and the late arrivals.
trial() {
	local name=$1 path=$2 end i=0 before
	from=$(now_ms)
	before=$(ended)
	end=$((from + lasts * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		i=$((i + 1))
		key_sent=k$((i % 2 + 1)) ask $((21 + i % 3)) "$path" "$name-$i" -d same -o /dev/null -w '%{http_code}\n' >>"$dir/$name" &
		sleep "0.$pause_us"
		[ "$name" != restarts ] || [ "$i" != 12 ] || restart $entries
		[ "$name" != control ] || [ "$i" != 1 ] || restart 11 12 13
		[ "$name" != control ] || [ "$i" != 16 ] || restart 21 22
	done
	sleep 0.5
	ends=$(($(ended) - before))
	lates=$(late "$path")
	echo "      $name: $i requests, $ends servers ended, $lates arrivals later than 3 s after the third"
}
# judge WHAT [MOST]: three servers may crash, and one more under a request that
# was under way then.
judge() {
	check "$1: at most ${2:-4} servers end" 1 "$((ends >= 1 && ends <= ${2:-4}))"
	check "$1: nothing reaches servers later than 3 s after the third" 1 "$((lates <= 3))"
}

trial whole /crash/1
judge 'before the first byte'
trial late /s/crash-late/1
judge 'after an event'
trial restarts /s/crash-late/2
judge 'all entries start again'
trial control /s/crash-late/3
# Until control is back, no entry learns of the three crashes another one saw.
judge 'control starts again, then two entries' 9
touch "$dir/at-once"
trial quick /s/crash-late/4
judge 'servers are back at once'

refused=$(cat "$dir"/i2?.log | grep event=refused_for_crashes | sed -n 's/.* fingerprint=\([0-9a-f]*\).*/\1/p' | sort -u | wc -l)
echo "      $refused fingerprints refused, $(sort "$dir/innocent" | uniq -c | tr '\n' ' ')"
check 'no request is refused that crashes nothing' 5 "$refused"
rm "$dir/serving"
wait $supervisors 2>/dev/null
