# Functions shared by the process tests of the gateway: they start instances,
# each on an address of its own, and act as operators, as backend servers that
# announce themselves and as callers.  Each test defines document VERSION
# TIMEOUT, which prints an operator's document.
. "$(dirname "$0")/tools.bash"
base=$(port_base 29000)
link=$((base + 1)) control=$((base + 2)) front=$((base + 3)) ready=$((base + 4))
metrics=$((base + 5)) forward=$((base + 6))
key=$(printf '%064d' 7)
seeds=127.0.0.11:$control,127.0.0.12:$control,127.0.0.13:$control
declare -A pid_of

gateway() {	# gateway N FLAGS...: starts the instance 127.0.0.N
	local n=$1
	shift
	"$build/celeryford-gateway" --instance "i$n" --data-centre "${centre:-a}" \
	    --link-host "127.0.0.$n" --link-port $link --cluster-key "$key" \
	    --metrics-listen "127.0.0.$n:$metrics" --grace-ms 4000 \
	    --seeds "$seeds" "$@" >>"$dir/i$n.log" 2>>"$dir/i$n.err" &
	pid_of[$n]=$!
	pids="$pids $!"
}
state() {	# state N BOOTSTRAP
	gateway "$1" --control-listen "127.0.0.$1:$control" \
	    --data-dir "$dir/data$1" --bootstrap "$2"
}
entry() {	# entry N FLAGS...
	gateway "$1" --listen "127.0.0.$1:$front" \
	    --ready-listen "127.0.0.$1:$ready" --forward-port $forward "${@:2}"
}
put() {	# put VERSION TIMEOUT: sends a document to any control instance, with retries
	local n
	for _ in $(seq 100); do
		for n in 11 12 13; do
			code=$(document "$1" "$2" | curl -s -L -m 2 -o /dev/null -w '%{http_code}' \
			    -X PUT -H 'Content-Type: application/json' --data-binary @- \
			    "http://127.0.0.$n:$control/api/config")
			[ "$code" != 200 ] || return 0
		done
		sleep 0.1
	done
	return 1
}
# await_entries N...: waits until each instance serves; ends the test if one
# does not.
await_entries() {
	local n
	for n in "$@"; do
		for _ in $(seq 300); do
			[ "$(status "$n" /ok/1 r1)" = 200 ] && continue 2
			sleep 0.1
		done
		check "i$n serves" 200 "$(status "$n" /ok/1 r1)"
		exit 1
	done
}

# end_now N...: kills instances and waits for them, which frees their ports.
end_now() {
	for n in "$@"; do kill -KILL "${pid_of[$n]}"; done
	for n in "$@"; do wait "${pid_of[$n]}"; done
}
seq_no=0
announce() {	# announce ID PORT [STATE]
	seq_no=$((seq_no + 1))
	curl -s -m 1 -o /dev/null -X PUT -d "{\"service\":\"s\",\"address\":\"127.0.0.1:$2\",
	    \"zone\":\"a\",\"version\":\"v1\",\"slots\":${slots:-8},\"state\":\"${3:-ready}\",
	    \"cold_left_ms\":0,\"seq\":$seq_no,\"born\":$started}" \
	    "http://127.0.0.1$((seq_no % 3 + 1)):$control/api/instances/$1" ||
	    curl -s -m 1 -o /dev/null "http://127.0.0.12:$control/"
}
ask() {	# ask N PATH ID CURL-FLAGS...
	curl -s -m 8 -H 'Host: h.example' -H "Celeryford-Request-Id: $3" \
	    -H "Authorization: Bearer ${key_sent:-k1}" "${@:4}" "http://127.0.0.$1:$front$2"
}
# metric N NAME: prints a value of the instance's metrics page; NAME includes
# the labels.
metric() {
	curl -s -m 2 "http://127.0.0.$1:$metrics/metrics" |
	    sed -n "s/^$2 //p"
}
status() { ask "$@" -o /dev/null -w '%{http_code}'; }
started=$(date +%s)000
