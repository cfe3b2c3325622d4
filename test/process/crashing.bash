# Functions shared by the process tests with backend servers that crash and
# come back.
. "$(dirname "$0")/gateway.bash"

start_entry() { entry "$1" --retry-window-ms 1000 --announce-ms 1200 --retry-share 0.9 --retry-slack "${retry_slack:-50}"; }
now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
ended() { cat "$dir"/lives/* | grep -c crashed; }

# keep_serving N: runs $server_program, cf-fake-server if unset, with $server_flags
# as server N, and restarts it whenever it ends, after $down_s (2 if unset) and
# with a new id for each life, or, while the file at-once exists, at once and with
# a fixed id.
mkdir "$dir/lives"
touch "$dir/serving"
on_new_life() { :; } # on_new_life N: called once the process runs
keep_serving() {
	local n=$1 life=0 id up
	while [ -e "$dir/serving" ]; do
		life=$((life + 1))
		id=s-$n-$life
		[ ! -e "$dir/at-once" ] || id=s-$n
		"$build/${server_program:-cf-fake-server}" "$id" "127.0.0.1:$((base + 100 + n))" ${server_flags:-} >"$dir/lives/$n-$life" 2>&1 &
		up=$!
		started=$(date +%s%3N)
		on_new_life "$n"
		while [ -e "$dir/serving" ] && kill -0 $up 2>/dev/null; do
			announce "$id" "$((base + 100 + n))"
			for _ in 1 2 3 4 5 6 7 8 9 10; do
				kill -0 $up 2>/dev/null || break
				sleep 0.1
			done
		done
		kill $up 2>/dev/null
		wait $up 2>/dev/null
		[ -e "$dir/at-once" ] || sleep "${down_s:-2}"
	done
}
# restart N...: kills instances and starts them again.
restart() {
	local n
	end_now "$@" 2>/dev/null
	for n in "$@"; do
		case $n in
		1?) state $n false ;;
		*) start_entry $n ;;
		esac
	done
}
# start_system: three control instances, $entries and $servers, whose supervisors
# are added to $supervisors.
supervisors=
start_system() {
	local n
	for n in 11 12 13; do state $n true; done
	for n in $entries; do start_entry "$n"; done
	put 1 4000
	for n in $servers; do
		keep_serving "$n" &
		supervisors="$supervisors $!"
	done
	await_entries $entries
	sleep 1.5
}
