# Functions shared by the scripts of this folder.  A script starts control and
# entry instances of the gateway with the command of deploy/system.toml, each on
# a loopback address of its own and with deploy/settings.template filled in, and
# stand-ins of review/peer.c.  It ends all that it started.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
gateway=$PWD/target/celeryford-gateway
peer=$PWD/review/bin/peer
record=$here/record.txt
trouble=${TROUBLE:-1}
net=127.$((70 + $$ % 100)).$(($$ / 100 % 250 + 1))
dir=$(mktemp -d)
declare -A pid_of
: >"$record"

note() { echo "$*" | tee -a "$record"; }

# finish CODE: ends every process and the script.
finish() {
	trap - EXIT
	for p in "${pid_of[@]}"; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	[ -z "${KEEP:-}" ] || cp -r "$dir" "$KEEP"
	rm -rf "$dir"
	exit "$1"
}
trap 'finish 2' EXIT
[ -x "$gateway" ] && [ -x "$peer" ] || { echo "not built"; finish 2; }

seeds=$net.11:8229,$net.12:8229,$net.13:8229
controls=$seeds,$net.14:8229
zones=(suape pecem recife natal)

# settings N ROLE BOOTSTRAP: fills in the template for the instance N.
settings() {
	local front='' ready='' control='' data=''
	[ "$2" != entry ] || front=$net.$1:8227 ready=$net.$1:8220
	[ "$2" != state ] || control=$net.$1:8229 data=$dir/data$1
	sed -e "s#{{node}}#n$1#; s#{{zone}}#${zones[$1 % 4]}#; s#{{ip}}#$net.$1#" \
	    -e 's#{{port_range.0}}#7340#; s#{{port_range.1}}#7341#' \
	    -e "s#{{listen.front}}#$front#; s#{{listen.ready}}#$ready#" \
	    -e "s#{{listen.control}}#$control#; s#{{data_dir}}#$data#" \
	    -e "s#{{bootstrap}}#$3#; s#{{seeds}}#$seeds#; s#{{heartbeat_ms}}#1200#" \
	    -e 's#{{bounds.contact_ms}}#3000#; s#{{bounds.drain_ms}}#2000#' \
	    -e 's#{{bounds.grace_s}}#8#; s#{{bounds.revoke_ms}}#5000#' \
	    -e 's#{{bounds.retry_budget_ratio}}#0.9#; s#{{bounds.budget_slack}}#54#' \
	    -e 's#{{bounds.budget_window_s}}#10#; s#{{bounds.exposure_share}}#0.15#' \
	    -e 's#{{bounds.cold_overshoot}}#1.5#; s#{{bounds.cold_slack}}#5#' \
	    -e 's#{{bounds.session_s}}#5#' deploy/settings.template >"$dir/n$1.settings"
}

# launch N ROLE BOOTSTRAP: starts the instance N.
launch() {
	settings "$@"
	[ "$2" != state ] || mkdir -p "$dir/data$1"
	"$gateway" --settings "$dir/n$1.settings" >>"$dir/n$1.log" 2>&1 &
	pid_of[n$1]=$!
}

# server ID PORT SERVICE OPTIONS...: starts a backend server.
server() {
	"$peer" server "$net.50:$2" "$1" "$3" "$controls" "$record" "${@:4}" &
	pid_of[$1]=$!
}

# operator METHOD PATH [BODY] [SECONDS]: calls control instances in turn until
# one answers 2xx, for the given time; without an answer in 2 s it goes on to the
# next one.
operator() {
	local n status until=$((SECONDS + ${4:-20}))
	while [ $SECONDS -lt $until ]; do
		for n in 11 12 13 14; do
			status=$(printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
			    "$1" "$2" "$net.$n" "$(printf %s "${3:-}" | wc -c)" "${3:-}" |
			    "$peer" call "$net.$n:8229" operator "$record" wait=2000 2>/dev/null)
			case $status in status=2*) return 0 ;; esac
		done
		sleep 0.25
	done
	return 1
}

# await PROBE...: waits up to 20 s until a command prints an answer of 200.
await() {
	for _ in $(seq 80); do
		case $("$@" 2>/dev/null) in *status=200*) return 0 ;; esac
		sleep 0.25
	done
	return 1
}

# start_system ENTRY...: four control instances and the given entries.
start_system() {
	local n
	for n in 11 12 13 14; do launch "$n" state true; done
	for n in "$@"; do launch "$n" entry true; done
}
