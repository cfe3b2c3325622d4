#!/bin/bash
# Answers that never end, 40 of a kind at once, at an entry that has lost its
# path to the servers and forwards its requests: its memory and that of the
# instance in between stay bounded, each request ends in its time, and callers
# of a sound service are served meanwhile at both.
. "$(dirname "$0")/endless.bash"

at_once=40
memory_max_kb=131072 # half of an instance's, docs/CAPACITY.md

for n in 11 12 13; do state $n true; done
for n in 21 22; do
	entry $n --source-address "127.0.0.$n" --retry-window-ms 1000 --retry-slack 400
done
start good cf-fake-server s-1 127.0.0.1:0
good=$addr
start raw cf-fake-raw 0
start relay cf-relay --link "127.0.0.1:0=$good" --link "127.0.0.1:0=$addr" --control 127.0.0.1:0
relay=$addr
until [ "$(grep -c '^relays ' "$dir/relay.out")" = 2 ]; do sleep 0.01; done
mapfile -t port < <(sed -n 's/^relays .*://p' "$dir/relay.out")
put 1 $timeout_ms
touch "$dir/serving"
while [ -e "$dir/serving" ]; do
	announce s-1 "${port[0]}"
	announce_raw "${port[1]}"
	sleep 1
done &
announcer=$!
await_entries 21 22
until_says 'server=raw-1' cat "$dir/i21.log"
curl -s -m 5 -o /dev/null -X POST "http://$relay/isolate?from=127.0.0.21&kind=reset"
forwards() {
	status 21 /ok/1 f1 >/dev/null
	grep 'event=answered' "$dir/i22.log"
}
until_says 'request=f1' forwards
check 'the entry forwards its requests' 0 $?
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid_of[$1]}/status"; }

for path in /raw/head/ /raw/interim/ /raw/other/ /raw/body/ /raw/chunks/ \
    /raw/extension/ /raw/trailer/ /s/event/ /s/event-bytes/ /s/events/; do
	name=${path//\//}
	rm -f "$dir"/ended "$dir"/beside
	calls=
	for i in $(seq $at_once); do
		{
			ask 21 "$path$i" "$name$i" -m 5 -o /dev/null -w '%{http_code} %{time_total}' >"$dir/call.$i"
			echo "$(cat "$dir/call.$i")" >>"$dir/ended"
		} &
		calls="$calls $!"
	done
	for i in 1 2 3 4 5; do
		for n in 21 22; do
			status $n "/ok/$name" "$name-$n-$i" -m 2 >>"$dir/beside"
			echo >>"$dir/beside"
		done
		sleep 0.2
	done
	# shellcheck disable=SC2086
	wait $calls
	check "$path: callers beside are served" 10 "$(grep -c '^200$' "$dir/beside")"
	check "$path: each request ends in its time" $at_once \
	    "$(awk '$2 < 3.5' "$dir/ended" | wc -l)"
	check "$path: none is promised not to have run" 0 "$(grep -c '^503' "$dir/ended")"
done
rm "$dir/serving"
wait $announcer
for n in 21 22; do
	echo "      peak of i$n: $(peak_kb $n) KB"
	# AddressSanitizer keeps freed memory, so the peak says nothing.
	if ldd "$build/celeryford-gateway" | grep -q libasan; then
		echo 'skip  memory, under AddressSanitizer'
	else
		check "memory of i$n stays within half of its limit" 1 "$(($(peak_kb $n) < memory_max_kb))"
	fi
done
