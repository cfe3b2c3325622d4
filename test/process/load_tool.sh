#!/bin/bash
# Tests that cf-load detects the faults that engines inject.  The engine is
# called without a router in between, so each fault must show in the report.
. "$(dirname "$0")/tools.bash"
load() {
	"$build/cf-load" --model drafter/small-1 --service filing \
	    --service-permille 200 --rate 150 --seconds 1 --timeout-ms 1000 "$@" \
	    >"$dir/load.out" 2>&1
	result=$?
}
says() { sed -n "s/^$1: //p" "$dir/load.out"; }
engine() {
	start "$1" cf-fake-engine --listen 127.0.0.1:0 --name "$1" --slots 64 \
	    --version drafter/small-1 --service filing --leave-ms 0 "${@:2}"
}

engine sound
sound=$addr
load --target http://127.0.0.1:1 --target "http://$sound" \
    --engine-stats "http://$sound" --json "$dir/load.json"
check 'a sound engine passes' 0 $result
check 'all are answered whole' "$(says sent)" "$(says answered_whole)"
check 'a dead target is passed over' 0 "$(says lost)"
check 'nothing is cut' 0 "$(says cut_as_whole)"
check 'nothing is crossed' 0 "$(says crossed)"
check 'the report is written' "$(says sent)" "$(sed -n 's/^  "sent": \([0-9]*\),/\1/p' "$dir/load.json")"
load --target "http://$sound" --engine-stats "http://$sound" --resend-permille 500
check 'double runs are seen' "$(says resent)" "$(says double_runs)"
check 'and fail the run' 1 $result

engine crossing --cross-permille 200
load --target "http://$addr"
check 'crossed answers fail the run' 1 $result
engine cutting --cut-permille 200
load --target "http://$addr"
check 'cut answers are errors, not whole ones' 0 "$(says cut_as_whole)"
check 'each of them is counted' "$(says lost)" "$(says 'error cut')"
engine slow --first-token-us 2000000
load --target "http://$addr"
check 'callers leave late answers' "$(says sent)" "$(says timeouts)"

printf '{"workspace":"w","request":"%s"}\n' r1 r2 r1 >"$dir/bills"
load --target "http://$sound" --bills "file://$dir/bills"
check 'a doubled bill is seen' 1 "$(says double_bills)"
check 'and fails the run' 1 $result
