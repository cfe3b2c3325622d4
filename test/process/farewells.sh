#!/bin/bash
# Guards against farewells that are forgotten: all processes are killed after a
# server's farewell was acknowledged, and announcements that it sent before
# arrive after the restart.  None may count as a new server.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":2,"service":"s"}],
"services":[{"name":"s","max_connections":100}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
# report ID STATE SEQ BORN CONTROL: prints the status of an announcement.
report() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' -X PUT -d "{\"service\":\"s\",
	    \"address\":\"127.0.0.1:${port_of[$1]}\",\"zone\":\"a\",\"version\":\"v1\",
	    \"slots\":8,\"state\":\"$2\",\"cold_left_ms\":0,\"seq\":$3,\"born\":$4}" \
	    "http://127.0.0.$5:$control/api/instances/$1"
}
leave() {	# leave ID CONTROL: prints the status of a farewell
	curl -s -m 2 -o /dev/null -w '%{http_code}' -X DELETE \
	    "http://127.0.0.$2:$control/api/instances/$1"
}
# acknowledged COMMAND...: repeats a call as a server does that gets no
# acknowledgement, since a disk may be slow; prints the last status.
acknowledged() {
	local code
	for _ in $(seq 20); do
		code=$("$@")
		[ "$code" != 200 ] || break
		sleep 0.1
	done
	echo "$code"
}
declare -A port_of
served() { grep -c '^got' "$dir/$1.out"; }
# restart FOLDER...: kills all processes and starts them again, without FOLDERs.
restart() {
	end_now 11 12 13 21 22
	for n in "$@"; do rm -rf "$dir/data$n"; done
	for n in 11 12 13; do state "$n" false; done
	for n in 21 22; do entry "$n"; done
}
# late_reports ID...: ready ones with the first sequence number, to every control
# instance, until each has taken it.
late_reports() {
	local id n
	for id in "$@"; do
		for n in 11 12 13; do
			for _ in $(seq 100); do
				[ "$(report "$id" ready 1 "$started" $n)" = 200 ] && break
				sleep 0.05
			done
		done
	done
}
# serves_only_sound ID...: callers at both entries are served, by none of these.
serves_only_sound() {
	local id i before=
	report s-1 ready $((++seq_1)) "$started" 12 >/dev/null
	await_entries 21 22
	for id in "$@"; do before="$before $(served "$id")"; done
	for i in $(seq 24); do
		[ $((i % 8)) -ne 0 ] || report s-1 ready $((++seq_1)) "$started" 12 >/dev/null
		ask $((21 + i % 2)) /ok/1 "$RANDOM-$i" -o /dev/null -w '%{http_code}\n'
		sleep 0.05
	done >"$dir/codes"
	check '  callers are served' 24 "$(grep -c '^200' "$dir/codes")"
	check "  none by $*" "$before" "$(for id in "$@"; do printf ' %s' "$(served "$id")"; done)"
}

for n in 11 12 13; do state $n true; done
for n in 21 22; do entry $n; done
for n in 1 2 3 4; do
	start s-$n cf-fake-server s-$n 127.0.0.1:0
	port_of[s-$n]=${addr##*:}
done
put 1 4000
for n in 1 2 3 4; do report s-$n ready 1 "$started" 11 >/dev/null; done
seq_1=1
await_entries 21 22
for _ in $(seq 100); do
	[ "$(served s-2)" -gt 0 ] && [ "$(served s-3)" -gt 0 ] && [ "$(served s-4)" -gt 0 ] && break
	ask 21 /ok/1 "w$RANDOM" -o /dev/null
	ask 22 /ok/1 "w$RANDOM" -o /dev/null
	sleep 0.02
done
check 'all servers serve' 1 "$(($(served s-2) > 0 && $(served s-3) > 0 && $(served s-4) > 0))"

echo 'a farewell, and a server that drains, before all processes are killed'
check '  the farewell is acknowledged' 200 "$(acknowledged leave s-2 12)"
check '  so is the draining' 200 "$(acknowledged report s-3 draining 2 "$started" 13)"
sleep 0.5
restart
late_reports s-2 s-3
serves_only_sound s-2 s-3

echo 'the disk of the instance that acknowledged one is lost as well'
check '  the server is known again' 200 "$(report s-4 ready 2 "$started" 11)"
sleep 0.5
check '  the farewell is acknowledged' 200 "$(acknowledged leave s-4 13)"
sleep 0.5
restart 13
late_reports s-2 s-3 s-4
serves_only_sound s-2 s-3 s-4

echo 'a new life of a server that had left'
check '  is acknowledged' 200 "$(report s-2 ready 1 $((started + 60000)) 11)"
before=$(served s-2)
for _ in $(seq 100); do
	[ "$(served s-2)" -gt "$before" ] && break
	ask 21 /ok/1 "n$RANDOM" -o /dev/null
	sleep 0.02
done
check '  and serves' 1 "$(($(served s-2) > before))"

echo 'a folder for farewells that cannot be used'
end_now 13
rm -rf "$dir/data13/farewells"
: >"$dir/data13/farewells"
state 13 false
for _ in $(seq 100); do
	[ "$(report s-1 ready $((++seq_1)) "$started" 13)" = 200 ] && break
	sleep 0.05
done
check '  its instance acknowledges reports' 200 "$(report s-1 ready $((++seq_1)) "$started" 13)"
check '  and no farewell' 503 "$(leave s-2 13)"
check '  which another one takes' 200 "$(acknowledged leave s-2 12)"
rm "$dir/data13/farewells"
check '  once it can be used, so does this one' 200 "$(acknowledged leave s-2 13)"
