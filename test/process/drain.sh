#!/bin/bash
# Drains a data centre under load and returns it: its requests are forwarded,
# the last dispatch in it comes within LAST_DISPATCH_MS, and no caller loses a
# request.
. "$(dirname "$0")/system.bash"
LAST_DISPATCH_MS=2000
# The share of a data centre that has returned grows over 30 s; 33 dispatches
# are expected in the nine seconds of load that follow.
LOAD_SECONDS=17
system_up "$(port_base 28000)"
# shellcheck disable=SC2046
"$build/cf-load" $(load_flags) --key permits-1-key --model auto --rate 100 \
    --seconds $LOAD_SECONDS --sessions 100 --max-tokens 100 --deadline-ms 1500 \
    --settle-ms 2000 --answered "$dir/answered" >"$dir/load.out" 2>&1 &
load=$!
sleep 3
now_us() { date +%s%6N; }
# Collects the times of all dispatches to servers of curepe from the logs of all
# instances, in order.
dispatches() {
	cat "$system_dir"/*-[12].log | grep 'event=dispatch' | grep 'choice=curepe-' |
	    sed 's/^ts=\([^ ]*\) .*/\1/' | sort >"$dir/dispatches"
}
ctl arima-1 drain curepe >"$dir/drain.out" 2>&1
check 'the drain is accepted' 0 $?
cat "$dir/drain.out"
accepted=$(cat "$system_dir"/*-1.log | sed -n 's/^ts=\([^ ]*\) .*event=config_accepted.*/\1/p' | sort | tail -1)
sleep 5
returned=$(date -u +%Y-%m-%dT%H:%M:%S.%6NZ)
ctl tunapuna-1 return curepe >"$dir/return.out" 2>&1
check 'the return is accepted' 0 $?
wait $load
check 'the load tool saw no broken promise' 0 $?
dispatches
last=$(awk -v r="$returned" '$1 < r' "$dir/dispatches" | tail -1)
first=$(awk -v r="$returned" '$1 >= r' "$dir/dispatches" | head -1)
ms() { echo $(($(date -d "$1" +%s%3N) - $(date -d "$2" +%s%3N))); }
echo "accepted $accepted, last dispatch $last: $(ms "$last" "$accepted") ms after"
echo "returned $returned, first dispatch $first: $(ms "$first" "$returned") ms after"
check 'the last dispatch in it comes within the limit' yes \
    "$([ "$(ms "$last" "$accepted")" -le $LAST_DISPATCH_MS ] && echo yes)"
check 'it gets work again after its return' yes "$([ -n "$first" ] && echo yes)"
check 'its requests are forwarded' yes \
    "$(cat "$system_dir"/curepe-*.log | grep -q 'event=forward' && echo yes)"
cat "$dir/load.out"
cat "$system_dir"/*-[12].log | grep 'event=refuse'
check 'no request is lost' 0 "$(says lost)"
check 'every request is answered whole' "$(says sent)" "$(says answered_whole)"
check 'no session changes its version' 0 "$(says session_moves)"
until_true 15 billed_once "$dir/answered"
check 'every whole answer has one bill at every replica' 0 $?
