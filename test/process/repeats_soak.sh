#!/bin/bash
# A service that sheds load, callers on persistent connections, and instances
# that are stopped, killed, paused and restarted in an order drawn from a seed:
# in no window do the backend servers get more retries than the retry budget
# allows.  CF_SEED, CF_SECONDS, CF_ENTRIES and CF_CALLERS (for each entry) vary
# the run; CF_KEEP=FOLDER keeps its logs.  With CF_LIMIT the last server names
# that limit, in requests a second, and must not get more than it allows.
. "$(dirname "$0")/gateway.bash"
RANDOM=${CF_SEED:-1}
seconds=${CF_SECONDS:-15}
share=0.5 slack=24 window_ms=3000

document() {
	cat <<EOF
{"version":$1,"routes":[
{"name":"ok","host":"h.example","path_prefix":"/ok/","kind":"idempotent","timeout_ms":$2,"max_attempts":2,"service":"s"},
{"name":"shed","host":"h.example","path_prefix":"/shed/","kind":"idempotent","timeout_ms":$2,"goal_ms":600,"max_attempts":3,"service":"s"}],
"services":[{"name":"s","max_connections":1000}],
"tenants":[{"name":"w","api_keys":["k1"]}]}
EOF
}
entry_up() {
	entry "$1" --retry-share $share --retry-slack $slack \
	    --retry-window-ms $window_ms
}
entries=$(seq 21 $((20 + ${CF_ENTRIES:-4}))) controls='11 12 13'
servers='1 2 3 4 5'
declare -a port_of
for n in $controls; do state $n true; done
for n in $entries; do entry_up $n; done
for n in $servers; do
	start "server$n" cf-fake-server "s-$n" 127.0.0.1:0 $((n < 5 ? 85 : 20))
	port_of[n]=${addr##*:}
done
put 1 3000
slots=40
announcements() {
	while :; do
		for n in $servers; do announce "s-$n" "${port_of[n]}"; done
		sleep 1
	done
}
announcements &
helpers=$!
await_entries $entries
if [ -n "${CF_LIMIT:-}" ]; then
	curl -s -o /dev/null "http://127.0.0.1:${port_of[5]}/set-limit/$CF_LIMIT"
fi

# callers N CALLER: sends requests one after the other on one connection, and
# reconnects when the instance has ended; prints "asked TARGET STATUS" for each.
callers() {
	local round=0
	trap 'kill $!; exit' TERM
	while :; do
		round=$((round + 1))
		curl -s -m 60 --rate 1800/m -H 'Host: h.example' \
		    -H "Celeryford-Request-Id: c$1-$2" \
		    -H 'Authorization: Bearer k1' -o /dev/null \
		    -w 'asked %{url} %{http_code}\n' \
		    "http://127.0.0.$1:$front/shed/c$1-$2-$round-[1-100000]" &
		wait $!
		sleep 0.05
	done
}
for n in $entries; do
	for c in $(seq "${CF_CALLERS:-4}"); do
		callers "$n" "$c" >>"$dir/asked-$n-$c" &
		helpers="$helpers $!"
	done
done

# again N: restarts instance N in its former role.
again() {
	case $1 in
	1?) state "$1" false ;;
	*) entry_up "$1" ;;
	esac
}
pick() {	# pick WORD...: one of them, into $n
	shift $((RANDOM % $#))
	n=$1
}
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
	sleep "0.$((RANDOM % 9 + 1))"
	pick $entries $entries $controls
	case $((RANDOM % 5)) in
	0 | 1) what=TERM ;;
	2) what=KILL ;;
	3) what=STOP ;;
	4) what=controls ;;
	esac
	echo "      $what i$n"
	case $what in
	STOP)
		kill -STOP "${pid_of[$n]}"
		sleep "0.$((RANDOM % 9 + 1))"
		kill -CONT "${pid_of[$n]}"
		;;
	controls)
		end_now $controls
		for n in $controls; do again "$n"; done
		;;
	*)
		kill "-$what" "${pid_of[$n]}"
		wait "${pid_of[$n]}"
		again "$n"
		;;
	esac
done 2>/dev/null
kill $helpers 2>/dev/null
sleep 0.5

# The first arrival of a target counts as its request, later ones as retries.  A
# request that reached no server is not counted, which makes the bound slightly
# stricter.
cat "$dir"/server*.out | sed -n 's/^got \([0-9]*\) \(.*\/shed\/.*\)/\1 \2/p' |
    sort -n | awk -v share=$share -v slack=$slack -v window=$window_ms '
{
	repeat[NR] = seen[$2]++ > 0
	at[NR] = $1
}
END {
	worst = -slack
	for (i = 1; i <= NR; i++) {
		if (!repeat[i])
			continue
		in_it = before = repeats = 0
		for (k = i; k <= NR && at[k] < at[i] + window; k++) {
			if (repeat[k])
				repeats++
			else
				in_it++
		}
		for (k = i - 1; k > 0 && at[k] >= at[i] - window; k--)
			before += !repeat[k]
		if (before > in_it)
			in_it = before
		beyond = repeats - share * in_it - slack
		if (beyond > worst) {
			worst = beyond
			worst_at = at[i]
		}
		all++
	}
	printf "arrivals=%d repeats=%d beyond=%.1f at=%d\n", NR, all, worst, worst_at
}' >"$dir/verdict"
echo "      $(cat "$dir/verdict"), $(cat "$dir"/asked-* | wc -l) answers, $(
    cat "$dir"/asked-* | grep -c ' 200$') of them 200"
check 'repeats stay within the budget in every window' 0 \
    "$(sed 's/.*beyond=\([^ ]*\) .*/\1/' "$dir/verdict" | awk '{ print ($1 > 0 ? $1 : 0) }')"
check 'the run repeated enough to tell' 1 \
    "$(sed 's/.*repeats=\([0-9]*\) .*/\1/' "$dir/verdict" | awk '{ print ($1 > 100) }')"
[ -z "${CF_KEEP:-}" ] || cp -r "$dir" "$CF_KEEP"
[ -n "${CF_LIMIT:-}" ] || exit 0
# From 3 s after the limit was named, at most one and a half times what it
# allows in any 4 s, and five requests more.
awk -v limit="$CF_LIMIT" '
$3 ~ "^/set-limit/" { from = $2 + 3000; next }
$1 == "got" && from > 0 && $2 >= from {
	at[++n] = $2
	while (at[n] - at[first + 1] >= 4000)
		first++
	if (n - first > most)
		most = n - first
}
END { printf "requests=%d most=%d allowed=%d\n", n, most, 6 * limit + 5 }' \
    "$dir/server5.out" >"$dir/limited"
echo "      limited server: $(cat "$dir/limited")"
check 'the limited server gets no more than it names' 1 \
    "$(sed 's/.*most=\([0-9]*\) allowed=/\1 /' "$dir/limited" | awk '{ print ($1 <= $2) }')"
check 'and enough to tell' 1 \
    "$(sed 's/^requests=\([0-9]*\) .*/\1/' "$dir/limited" | awk '{ print ($1 > 5) }')"
