#!/bin/bash
# Runs a deployment under load while instances and engines are lost; every
# guarantee that bench/faults checks must hold.
. "$(dirname "$0")/ports.bash"
set -u
build=$(cd "$1" && pwd)
dir=$(mktemp -d)
bench/faults --build "$build" --dir "$dir/faults" --port "$(port_base 28000)" --rate 150 \
    --seconds 10 >"$dir/out" 2>&1
status=$?
grep -E '^(kept|BROKEN)' "$dir/out"
[ "$status" -eq 0 ] || cat "$dir/out"
rm -rf "$dir"
exit "$status"
