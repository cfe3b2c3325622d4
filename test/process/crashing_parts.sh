#!/bin/bash
# A part of a prompt that crashes servers: how many it crashes, what still
# reaches servers 3 s after the fifth crash, and whether requests that share
# everything else with it are served.
. "$(dirname "$0")/crashing.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":5000,"max_attempts":3,"resumable":true,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}

lasts=9 # duration of each trial in seconds
servers='1 2 3 4 5 6 7 8'
entries='21 22 23'
start_system

# send PATH ID PARTS ENTRY FILE: appends the id and the status.
send() {
	ask "$4" "$1/$2" "$2" -H "Celeryford-Prompt-Prefix: $3,$2:30" -d "$2" \
	    -o /dev/null -w "$2 %{http_code}\\n" >>"$5"
}
# Sound requests, no two alike: they share the key and the first part with the
# crashing ones, and the first two loops the second part too.
sound() {	# sound N ENTRY
	local i=0 parts="aaaa:100,c$1:40"
	[ "$1" -gt 2 ] || parts=aaaa:100,bbbb:40
	while [ -e "$dir/serving" ]; do
		i=$((i + 1))
		send /s/prompt "e$1$(printf %05x $i)" "$parts" "$2" "$dir/sound.$1"
		sleep 0.05
	done
}
for n in 1 2 3 4 5 6; do
	sound $n $((21 + n % 3)) &
	supervisors="$supervisors $!"
done

# late NAME: crashing requests that reached a server later than 3 s after the
# fifth crash since $from, or the last if there were fewer.
late() {
	local fifth
	fifth=$(cat "$dir"/lives/* | sed -n 's/^crashed //p' | sort -n |
	    awk -v from="$from" '$1 >= from' | head -5 | tail -1)
	cat "$dir"/lives/* | awk -v fifth="${fifth:-0}" -v name="/$1" \
	    '$1 == "got" && index($3, name) && $2 > fifth + 3000' | wc -l
}
sent_sound() { cat "$dir"/sound.* | wc -l; }
served_sound() { cat "$dir"/sound.* | grep -c ' 200$'; }

# trial NAME PATH PART MOST: sends requests with the crashing part to the entries
# in turn for $lasts s, four a second.
trial() {
	local name=$1 path=$2 part=$3 i=0 end before sent served share
	from=$(now_ms)
	before=$(ended) sent=$(sent_sound) served=$(served_sound)
	end=$((from + lasts * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		i=$((i + 1))
		send "$path" "$part$(printf %03x $i)" "aaaa:100,bbbb:40,$part:50" \
		    $((21 + i % 3)) "$dir/crashing" &
		sleep 0.25
		[ "$name" != restarts ] || [ "$i" != 12 ] || restart $entries
		[ "$name" != control ] || [ "$i" != 1 ] || restart 11 12 13
		[ "$name" != control ] || [ "$i" != 16 ] || restart 21 22
		[ "$name" != apart ] || [ "$i" != 1 ] || signal STOP 11 12 13
		[ "$name" != apart ] || [ "$i" != 12 ] || signal CONT 11 12 13
	done
	sleep 0.5
	ends=$(($(ended) - before))
	lates=$(late "$part")
	sent=$(($(sent_sound) - sent)) served=$(($(served_sound) - served))
	share=$((served * 100 / sent))
	echo "      $name: $i requests, $ends servers ended, $lates arrivals later than 3 s after the fifth; $served of $sent sound ones served"
	check "$name: at most $4 servers end" 1 "$((ends >= 1 && ends <= $4))"
	check "$name: at most three requests reach servers later" 1 "$((lates <= 3))"
	check "$name: sound requests are served" 1 "$((share >= 80))"
}
signal() {	# signal NAME INSTANCE...
	local n
	for n in "${@:2}"; do kill "-$1" "${pid_of[$n]}"; done
}

trial streams /s/prompt dead1 5
trial whole /prompt-whole dead2 5
trial restarts /s/prompt dead3 5
# While entries can't tell each other, each may lose three.
trial control /s/prompt dead4 9
trial apart /s/prompt dead5 9
touch "$dir/at-once"
trial quick /s/prompt dead6 5

check 'no sound request is refused for crashes' 0 \
    "$(cat "$dir"/i2?.log | grep event=refused_for_crashes | grep -c 'request=e')"
rm "$dir/serving"
wait $supervisors 2>/dev/null
