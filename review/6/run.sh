#!/bin/bash
# The last key is taken away together with its tenant: the new version's list of
# tenants is empty.  Requests with that key, and with one that no version ever
# held, must not run from revoke-ms after the acknowledgement on.
. "$(dirname "$0")/../common-2.bash"

document() {
	local tenants='{"name":"w","api_keys":["key-of-w"],"priority":1}'
	[ "$1" -eq 1 ] || tenants=
	cat <<END
{"version":$1,"routes":[
{"name":"r","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"s","max_attempts":2,"public":false}],
"services":[{"name":"s","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[$tenants]}
END
}

for n in 11 12 13; do state $n true; done
for n in 21 22; do entry $n; done
put 1 >"$dir/put" || give_up 'version 1 is not acknowledged'
note "version 1: one tenant with one key: $(cat "$dir/put")"
server s-1 31
await_entries key-of-w 21 22
for n in 21 22; do
	[ "$(status $n /before/1 b1 no-key)" = 401 ] || give_up 'an unknown key is not refused'
done
note 'before: the key is served, an unknown one gets 401'

if [ "$trouble" = 1 ]; then
	put 2 >"$dir/put" || give_up 'version 2 is not acknowledged'
	note "version 2: \"tenants\":[]: $(cat "$dir/put")"
	sleep 5.6
fi
for i in 1 2 3 4 5; do
	for n in 21 22; do
		note "i$n, the key of version 1: $(ask $n "/taken/$i" "t$n$i" key-of-w)"
		note "i$n, a key of no version: $(ask $n "/never/$i" "n$n$i" no-key)"
	done
done
sleep 0.2
cat "$dir/s-1.ran" >>"$record"
taken=$(grep -c ' /taken/' "$dir/s-1.ran")
never=$(grep -c ' /never/' "$dir/s-1.ran")
note "run by the server: $taken of 10 with the key of version 1, $never of 10 with a key of no version"
if [ "$trouble" = 1 ]; then
	[ "$taken" -eq 0 ] && [ "$never" -eq 0 ] && finish 0
else
	[ "$taken" -gt 0 ] || give_up 'no request with a key in force ran'
	[ "$never" -eq 0 ] && finish 0
fi
finish 1
