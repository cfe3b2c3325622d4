# Functions shared by the process tests with backend servers whose answers never
# end: a sound service "s" and one, "raw", that cf-fake-raw serves.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"plain","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"},
{"name":"raw","host":"h.example","path_prefix":"/raw/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":2,"service":"raw"},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":2,"service":"raw"},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":$2,"max_attempts":2,"service":"raw"}],
"services":[{"name":"s","max_connections":1000},{"name":"raw","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}
timeout_ms=2500
slots=400
# announce_raw PORT: announces the server of "raw"; announce() is for "s".
announce_raw() {
	seq_no=$((seq_no + 1))
	curl -s -m 1 -o /dev/null -X PUT -d "{\"service\":\"raw\",\"address\":\"127.0.0.1:$1\",
	    \"zone\":\"a\",\"version\":\"v1\",\"slots\":400,\"state\":\"ready\",
	    \"cold_left_ms\":0,\"seq\":$seq_no,\"born\":$started}" \
	    "http://127.0.0.11:$control/api/instances/raw-1"
}
