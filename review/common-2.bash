# Functions shared by the scripts of the cases from 6 on.  A script defines
# document VERSION, which prints an operator's document, and calls finish with
# its verdict: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
trouble=${TROUBLE:-1}
program=target/celeryford-gateway
stand=target/review-2/stand-2
record=$here/record.txt
dir=$(mktemp -d)
pids=
declare -A pid_of
: >"$record"

finish() {
	local p
	trap - EXIT
	for p in $pids; do kill -KILL "$p" 2>/dev/null; done
	# shellcheck disable=SC2086
	wait $pids 2>/dev/null
	rm -rf "$dir"
	exit "$1"
}
trap 'finish 2' EXIT INT TERM
note() { echo "$*" | tee -a "$record"; }
give_up() { note "the case couldn't run: $*"; finish 2; }
now_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
[ -x $program ] && [ -x $stand ] || give_up "$program or $stand is not built"

# free_base: prints a port from which 16 are free on the addresses used here.
in_use() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }
free_base() {
	local base n p
	for base in $(shuf -i 1100-1900 -n 20); do
		base=$((base * 16))
		for n in 11 12 13 21 22 31 32; do
			for p in 0 1 2 3 4 5 6 7; do
				in_use 127.0.0.$n $((base + p)) && continue 3
			done
		done
		echo $base
		return
	done
}
base=$(free_base)
[ -n "$base" ] || give_up 'no free ports'
link=$base forward=$((base + 1)) control=$((base + 2)) front=$((base + 3))
ready=$((base + 4)) metrics=$((base + 5)) served=$((base + 6))
controls=127.0.0.11:$control,127.0.0.12:$control,127.0.0.13:$control

# settings N: what the deploy file's template gives on a small deployment.
settings() {
	cat <<END
instance = i$1
data-centre = a
dialect = platform
link-host = 127.0.0.$1
link-port = $link
forward-port = $forward
cluster-key = 6f1d2c3b4a59687786a5b4c3d2e1f00112233445566778899aabbccddeeff001
metrics-listen = 127.0.0.$1:$metrics
seeds = $controls
announce-ms = 1200
contact-ms = 3000
drain-ms = 2000
grace-ms = 8 s
revoke-ms = 5000
retry-share = 0.9
retry-slack = 54
retry-window-ms = 10 s
exposure-share = 0.15
cold-share = 1.5
cold-slack = 5
session-ms = 5 s
memory-mb = 260
descriptors-max = 4100
END
}
# state N BOOTSTRAP: starts a control instance; its folder outlives it.
state() {
	{
		settings "$1"
		echo "control-listen = 127.0.0.$1:$control"
		echo "data-dir = $dir/data$1"
		echo "bootstrap = $2"
	} >"$dir/i$1.settings"
	$program --settings "$dir/i$1.settings" --disk-losses=1 \
	    >>"$dir/i$1.log" 2>&1 &
	pid_of[$1]=$!
	pids="$pids $!"
}
entry() {
	{
		settings "$1"
		echo "listen = 127.0.0.$1:$front"
		echo "ready-listen = 127.0.0.$1:$ready"
	} >"$dir/i$1.settings"
	$program --settings "$dir/i$1.settings" >>"$dir/i$1.log" 2>&1 &
	pid_of[$1]=$!
	pids="$pids $!"
}
# server NAME N: starts a backend server on 127.0.0.N and its announcements.
# The third argument is the service, s without it; a fourth is passed to the
# server.
server() {
	$stand serve "$1" "127.0.0.$2:$served" ${4:+"$4"} >"$dir/$1.ran" &
	pid_of[$1]=$!
	pids="$pids $!"
	$stand beat "$1" "127.0.0.$2:$served" "${3:-s}" "$controls" >"$dir/$1.born" &
	pid_of[$1.beat]=$!
	pids="$pids $!"
}
# put VERSION: an operator's document, sent until it is acknowledged.
put() {
	document "$1" >"$dir/document.$1"
	$stand order PUT /api/config "$dir/document.$1" "$controls"
}
# ask N TARGET ID [KEY]: one request of a client; prints "MS STATUS TARGET".
ask() {
	$stand call "127.0.0.$1:$front" GET "$2" \
	    "Celeryford-Request-Id: $3" 'Celeryford-Deadline-Ms: 3000' \
	    ${4:+"Authorization: Bearer $4"}
}
status() { ask "$@" | cut -d' ' -f2; }
# await_entries KEY N...: until each entry serves and is ready.
await_entries() {
	local n key=$1
	shift
	for n in "$@"; do
		for _ in $(seq 100); do
			[ "$(status "$n" /first/1 "f$RANDOM" "$key")" = 200 ] &&
			    $stand call "127.0.0.$n:$ready" GET /api/ready |
			    grep -q ' 200 ' && continue 2
			sleep 0.1
		done
		give_up "i$n doesn't serve"
	done
}
