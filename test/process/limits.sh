#!/bin/bash
# Backend servers whose answers name a limit on the requests of all instances
# together: no server gets more than one and a half times that plus five in any
# 4 s, from 3 s after it first named it, and it gets most of what it allows.
. "$(dirname "$0")/gateway.bash"

document() {
	cat <<END
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":$2,"goal_ms":1000,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
END
}

servers=8
entries='21 22 23'
for n in 11 12 13; do state $n true; done
for n in $entries; do entry $n --revoke-ms 60000; done
for i in $(seq $servers); do
	start "s-$i" cf-fake-server "s-$i" 127.0.0.1:0
	port[i]=${addr##*:}
done
slots=200
announce_all() { for i in $(seq $servers); do announce "s-$i" "${port[i]}"; done; }
# Servers that fall silent are used as a last resort only.
keep_announcing() { while sleep 2; do announce_all; seq_no=$((seq_no + 100)); done; }
put 1 4000
announce_all
await_entries $entries
seq_no=100
keep_announcing &
pids="$pids $!"

now_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
# set_limit I TEXT: the answers of server I name TEXT as its limit from now on.
set_limit() { curl -s -o /dev/null "http://127.0.0.1:${port[$1]}/set-limit/$2"; }
# load SECONDS RATE ENTRY...: RATE calls a second to each entry.
load() {
	local n
	for n in "${@:3}"; do
		curl -s -m $(($1 + 2)) --rate "$2/s" -H 'Host: h.example' \
		    -H 'Celeryford-Request-Id: l1' -H 'Authorization: Bearer k1' -o /dev/null \
		    -w '%{http_code} %{time_total} %header{retry-after}\n' \
		    "http://127.0.0.1:$front/ok/[1-$(($1 * $2))]" \
		    --connect-to "127.0.0.1:$front:127.0.0.$n:$front" >>"$dir/load.$n" &
		loads="${loads:-} $!"
	done
}
end_load() {	# end_load NAME: sums up what callers got
	# shellcheck disable=SC2086
	wait $loads
	loads=
	cat "$dir"/load.* >"$dir/callers.$1"
	rm "$dir"/load.*
	echo "      $1: $(cut -d' ' -f1 "$dir/callers.$1" | sort | uniq -c | tr '\n' ' ')"
}
# arrivals I FROM_MS TO_MS: requests that server I got then, one time a line.
arrivals() {
	awk -v from="$2" -v to="$3" '$1 == "got" && $3 ~ "^/ok/" && $2 >= from && $2 < to {print $2}' \
	    "$dir/s-$1.out"
}
# worst I FROM_MS TO_MS: most requests in any 4 s.
worst() {
	arrivals "$@" | awk '{ at[NR] = $1; while (at[NR] - at[first + 1] >= 4000) first++
	    if (NR - first > most) most = NR - first } END { print most + 0 }'
}
# within WHAT I ALLOWED FROM_MS TO_MS
within() {
	local most
	most=$(worst "$2" "$4" "$5")
	[ "$most" -le "$3" ] || echo "      s-$2: $most in 4 s, allowed $3"
	check "$1" 1 "$((most <= $3))"
}
# at_least WHAT LEAST GOT
at_least() {
	[ "$3" -ge "$2" ] || echo "      $3, at least $2 wanted"
	check "$1" 1 "$(($3 >= $2))"
}

# One server of eight: 1.2 a second allows 12 in 4 s; the others carry the rest.
load 14 20 $entries
sleep 1
set_limit 1 1.2
t=$(now_ms)
sleep 13
end_load one
within 'one of eight keeps its limit' 1 12 $((t + 3000)) $((t + 13000))
at_least 'and is used' 8 "$(arrivals 1 $((t + 3000)) $((t + 13000)) | wc -l)"
check 'every caller is served' '200' "$(cut -d' ' -f1 "$dir/callers.one" | sort -u)"

# An entry that starts later is told before its first request.
entry 24 --revoke-ms 60000
await_entries 24
sleep 1
t=$(now_ms)
load 5 60 24
end_load later
within 'an entry that starts later knows the limit' 1 12 "$t" $((t + 5000))

# Another value, twice, and values that are none.
t=$(now_ms)
load 23 20 $entries
set_limit 1 4
sleep 15
set_limit 1 0.4
sleep 8
end_load change
within 'a higher limit is kept' 1 29 $((t + 3000)) $((t + 15000))
# Three of four entries have callers: each may send one a second.  How many come
# in a shorter time is chance, as a part that isn't used at once is used later.
for n in $entries; do
	at_least "and used by i$n" 12 "$(grep 'event=dispatch.* server=s-1 ' "$dir/i$n.log" |
	    grep -c ' limit_milli_per_s=4000 ')"
done
at_least 'and over 12 s, less a tenth' 33 "$(arrivals 1 $((t + 3000)) $((t + 15000)) | wc -l)"
within 'a lower one too' 1 7 $((t + 18000)) $((t + 23000))
t=$(now_ms)
load 7 20 $entries
for bad in NaN -1 1e9 '' ; do [ -n "$bad" ] && set_limit 1 "$bad"; sleep 1; done
set_limit 1 0.4
sleep 3
end_load bad
within 'what is no number changes nothing' 1 7 "$t" $((t + 7000))

# The end of the limit.
set_limit 1 ''
load 12 20 $entries
sleep 6
t=$(now_ms)
sleep 6
end_load end
at_least 'without a limit it is in full use again' 15 "$(arrivals 1 "$t" $((t + 6000)) | wc -l)"

# All servers; an entry is frozen, and then control.  All entries have a part of
# each limit, from which each may send once in 3.3 s.
for i in $(seq $servers); do set_limit "$i" 1.2; done
load 21 20 $entries 24
sleep 1
t=$(now_ms)
sleep 13
t1=$(now_ms)
for n in 11 12 13; do kill -STOP "${pid_of[$n]}"; done
kill -STOP "${pid_of[21]}"
sleep 3
kill -CONT "${pid_of[21]}"
sleep 3
for n in 11 12 13; do kill -CONT "${pid_of[$n]}"; done
end_load all
for i in $(seq $servers); do
	within "s-$i of eight limited ones keeps its limit" "$i" 12 $((t + 3000)) $((t1 + 7000))
done
sum=0
for i in $(seq $servers); do
	sum=$((sum + $(arrivals "$i" $((t + 3000)) "$t1" | wc -l)))
done
echo "      $sum requests in $((t1 - t - 3000)) ms, 9.6 a second allowed"
at_least 'together they get what they allow, less a tenth' $(((t1 - t - 3000) * 86 / 10000)) "$sum"
slow=$(awk '$1 != 200 && $2 > 0.6' "$dir/callers.all" | wc -l)
check 'callers who are refused are told at once' 0 "$slow"
check 'and when to come back' 0 "$(awk '$1 == 503 && $3 == ""' "$dir/callers.all" | wc -l)"
check 'nothing else happens to callers' '200 503' \
    "$(cut -d' ' -f1 "$dir/callers.all" | sort -u | tr '\n' ' ' | sed 's/ $//')"
