#!/bin/bash
# A backend server that sends an answer a second time when the next request
# follows on the connection: every caller gets its own answer.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}
for n in 11 12 13; do state $n true; done
entry 21 --retry-window-ms 1000 --retry-slack 400
start copies cf-fake-faulty
put 1 4000
slots=100
announce s-1 "${addr##*:}"
await_entries 21

for i in $(seq 5); do
	check "request $i gets its own answer" "/copy/$i" "$(ask 21 "/copy/$i" "c$i")"
done
check 'one without an id gets none of them' '' \
    "$(curl -s -m 8 -f -H 'Host: h.example' -H 'Authorization: Bearer k1' "http://127.0.0.21:$front/copy/none")"
check 'nor does the one after it' '/copy/6' "$(ask 21 /copy/6 c6)"
check 'copies have come' 1 "$(($(grep -c 'event=answer_of_another' "$dir/i21.log") > 0))"
