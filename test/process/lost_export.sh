#!/bin/bash
# Guards against bills missing from a replica's export: after a replica has lost
# its disk, or lines of its export, the export contains every bill again.
. "$(dirname "$0")/system.bash"
system_up "$(port_base 28000)"
ask() {
	curl -s -m 5 -o /dev/null -D - -H 'Authorization: Bearer permits-1-key' -d '{"model":"auto",
	    "max_tokens":5,"messages":[{"role":"user","content":"a"}]}' \
	    "$(http_of "$1")/v1/chat/completions" |
	    tr -d '\r' | sed -n 's/^Celeryford-Request: *//p' >>"$dir/answered"
}
ask curepe-2
ask tunapuna-2
until_true 10 billed_once "$dir/answered"
check 'every answer has one bill at every replica' 0 $?
system signal arima-1 KILL
sleep 0.3
rm -rf "$system_dir/arima-1"
system restart arima-1
until_true 20 all_ready
ask curepe-2
until_true 15 billed_once "$dir/answered"
check 'and so it is after one has lost its disk' 0 $?
# The journal records lines as exported that are not in the file: the process
# was killed before it wrote them, or the power failed.
system signal arima-1 KILL
sleep 0.3
: >"$system_dir/arima-1/bills-export.jsonl"
system restart arima-1
until_true 20 all_ready
ask curepe-2
until_true 15 billed_once "$dir/answered"
check 'and after one has lost the lines of its export' 0 $?
check 'no line is missing or out of order' "$(seq 4)" \
    "$(sed -n 's/.*"line":\([0-9]*\).*/\1/p' "$system_dir/arima-1/bills-export.jsonl")"
bills_report
