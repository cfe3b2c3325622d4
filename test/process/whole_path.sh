#!/bin/bash
# Runs tools/demo end to end with real processes and checks its output, then
# checks that celeryfordd refuses invalid flags and celeryfordctl reports errors
# in its exit status.
. "$(dirname "$0")/ports.bash"
set -u
build=$(cd "$1" && pwd)
failed=0
out=$(CF_DEMO_PORT=$(($(port_base 18000) + 500)) tools/demo "$build" 2>&1) || failed=1

check() {	# check NAME PATTERN: the demo's output matches PATTERN
	if grep -q -- "$2" <<<"$out"; then
		echo "ok    $1"
	else
		echo "FAIL  $1"
		failed=1
	fi
}
check "a whole answer" '"finish_reason":"stop"'
check "a streamed answer ends" '^data: \[DONE\]'
check "the filing ran once" '"run":1'
check "its key is not run again" '"kind":"duplicate"'
check "a decision line each" 'event=dispatch request=.* reason='
check "three bills" '"line":3'
check "a change in force everywhere" 'in force on every instance'
check "a withdrawn version gets no work" '"kind":"unknown_model"'
check "it ended by itself" 'demo: ended'

refuses() {	# refuses FLAGS...: celeryfordd exits with status 2
	local text
	text=$("$build/celeryfordd" "$@" 2>&1)
	if [ $? -eq 2 ]; then
		echo "ok    refused: $text" | head -n 1
	else
		echo "FAIL  accepted: $*"
		failed=1
	fi
}
refuses --listen localhost:80
refuses --listen 127.0.0.1:80000
refuses --peer a=127.0.0.1:1
refuses --log-level loud
refuses --data-centre 'a b'
refuses --listen 127.0.0.1:0

status() {	# status EXPECTED ARGS...: exit status of celeryfordctl ARGS
	local wanted=$1
	shift
	"$build/celeryfordctl" "$@" >/dev/null 2>&1
	local got=$?
	if [ "$got" -eq "$wanted" ]; then
		echo "ok    exit $got: celeryfordctl $*"
	else
		echo "FAIL  exit $got, not $wanted: celeryfordctl $*"
		failed=1
	fi
}
status 2
status 2 config
status 2 config apply
status 2 status
status 3 --ops http://127.0.0.1:1 status
status 5 config check test/process/whole_path.sh
status 0 config check fuzz/corpus/fuzz_document/first.yaml
status 0 completion
[ "$failed" -eq 0 ] || echo "$out" | tail -n 30
exit "$failed"
