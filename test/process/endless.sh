#!/bin/bash
# Backend servers whose answers never end: the entry's memory and the time of
# each request stay bounded, the connection is closed, and callers get the
# answer of another server or an error that does not claim the request has not
# run.
. "$(dirname "$0")/endless.bash"

memory_max_kb=80000 # half of what the users' entry instances have

for n in 11 12 13; do state $n true; done
entry 21 --retry-window-ms 1000 --retry-slack 400
start good cf-fake-server s-1 127.0.0.1:0
good=${addr##*:}
start raw cf-fake-raw 0
raw=${addr##*:}
put 1 $timeout_ms
announce s-1 "$good"
keep_announcing() {
	while [ -e "$dir/serving" ]; do
		announce s-1 "$good"
		announce_raw "$raw"
		sleep 1
	done
}
touch "$dir/serving"
keep_announcing &
announcer=$!
await_entries 21
until_says 'server=raw-1' cat "$dir/i21.log"
check 'the server is known' 0 $?
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid_of[21]}/status"; }
now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }

i=0
for path in /raw/head/ /raw/line/ /raw/interim/ /raw/other/ /raw/body/ /raw/chunks/ \
    /raw/extension/ /raw/trailer/ /once/body/ /once/head/ /s/event/ \
    /s/event-bytes/ /s/extension/ /s/trailer/; do
	i=$((i + 1))
	from=$(now_ms)
	code=$(status 21 "${path}$i" "e$i" -m 5)
	took=$(($(now_ms) - from))
	check "$path: an error that promises nothing" 1 "$((code == 502 || code == 504))"
	check "$path: within the request's time" 1 "$((took < timeout_ms + 500))"
	until_says "^sent [0-9]* /${path#/*/}" cat "$dir/raw.out"
	check "$path: the connection is closed" 0 $?
done
check 'answers without an end are counted' 1 \
    "$(($(metric 21 'celeryford_answers_unending_total{}') >= 10))"
# The log buffers lines for a moment before it writes them.
logged() { grep -c 'event=answer_unending.* server=raw-1' "$dir/i21.log"; }
for _ in $(seq 100); do [ "$(logged)" -lt 10 ] || break; sleep 0.05; done
check 'and logged with the server' 1 "$(($(logged) >= 10))"
check 'other requests are served meanwhile' 200 "$(status 21 /ok/1 r1)"

# Streams without an event in chunks of one byte, at full speed, beside callers
# of a sound service: the time for each byte doesn't grow with the event.
i=0
for _ in $(seq 10); do
	i=$((i + 1))
	ask 21 "/s/event-bytes/$i" "eb$i" -o /dev/null -m 6 &
	readers="${readers:-} $!"
done
# shellcheck disable=SC2086
for i in $(seq 20); do
	status 21 "/ok/eb$i" "ok$i" -m 1 >>"$dir/beside"
	echo >>"$dir/beside"
	sleep 0.1
done
check 'callers beside streams of single bytes are served' 20 "$(grep -c '^200$' "$dir/beside")"
# shellcheck disable=SC2086
wait $readers
readers=

# Slow readers of a stream whose events come at full speed.
for n in 1 2 3 4; do
	ask 21 "/s/events/$n" "ev$n" --limit-rate 10K -m 4 -o /dev/null &
	readers="${readers:-} $!"
done
# Many endless answers at the same time.
ask 21 '/raw/body/[1-60]' many -Z --parallel-immediate --parallel-max 60 -o /dev/null -m 6 &
for _ in 1 2 3 4 5; do
	check 'others are served meanwhile' 200 "$(status 21 /ok/2 r2)"
	sleep 0.3
done
wait $! $readers
rm "$dir/serving"
wait $announcer
echo "      peak $(peak_kb) KB"
# AddressSanitizer keeps freed memory, so the peak says nothing.
if ldd "$build/celeryford-gateway" | grep -q libasan; then
	echo 'skip  memory, under AddressSanitizer'
else
	check 'all of it stays within half of the memory limit' 1 "$(($(peak_kb) < memory_max_kb))"
fi
