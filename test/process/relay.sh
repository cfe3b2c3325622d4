#!/bin/bash
# Tests each fault that cf-relay simulates on a link: delay, hold, reset and
# freeze, and that mending the link ends it.
. "$(dirname "$0")/tools.bash"
start engine cf-fake-engine --listen 127.0.0.1:0 --version drafter/small-1 --leave-ms 0
engine=$addr
start relay cf-relay --listen 127.0.0.1:0 --to "$engine" \
    --link "127.0.0.1:0=$engine" --control 127.0.0.1:0
control=$addr
link=$(sed -n 's/^relays //p' "$dir/relay.out" | head -1)
second=$(sed -n 's/^relays //p' "$dir/relay.out" | tail -1)
order() { curl -s -m 5 -X POST "http://$control/$1"; }
ask() { chat "$link" true "$1" -o "$dir/answer" -w '%{time_total}' "${@:2}" 2>/dev/null; }
at_least() { awk -v t="$1" -v s="$2" 'BEGIN { print (t >= s) ? "yes" : "no" }'; }

ask t1 >/dev/null
check 'bytes pass' 0 $?
has 'whole' 'data: [DONE]' "$(cat "$dir/answer")"
order 'delay?ms=40' >/dev/null
check 'both ways are delayed' yes "$(at_least "$(ask t2)" 0.08)"
order mend >/dev/null
check 'mended, it is quick again' no "$(at_least "$(ask t3)" 0.08)"

# The caller may see a reset at its connect or at its first read.
order cut >/dev/null
for at in "$link" "$second"; do
	resets=$(field resets "$(curl -s -m 5 "http://$control/")")
	check "cut, $at answers nothing" '' "$(chat "$at" true t4)"
	check 'and resets' $((resets + 1)) \
	    "$(field resets "$(curl -s -m 5 "http://$control/")")"
done
order mend >/dev/null
ask t5 >/dev/null
check 'mended, it connects again' 0 $?

for way in up down; do
	order "cut?way=$way" >/dev/null
	ask t6 -m 0.2 >/dev/null
	check "held on the way $way, nothing comes" 28 $?
	order mend >/dev/null
	until_says '"open":0' curl -s -m 5 "http://$control/"
	check 'mended, the caller that left is noticed' 0 $?
done
order freeze >/dev/null
ask t7 >"$dir/time" &
asked=$!
until_says '"open":1' curl -s -m 5 "http://$control/"
check 'a frozen link still accepts' 0 $?
order mend >/dev/null
wait "$asked"
check 'what was held goes on' 0 $?
has 'to its end' 'data: [DONE]' "$(cat "$dir/answer")"
check 'an unknown order is refused' 404 \
    "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST "http://$control/bend")"
until_says '"open":0' curl -s -m 5 "http://$control/"
check 'no connection is left behind' 0 $?
