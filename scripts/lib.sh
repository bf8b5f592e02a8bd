# Functions shared by the scripts that run a deployment in separate processes. The sourcing script sets work (a directory
# for logs and settings), deployment (the name of an example) and pids (an array).

# start NAME COMMAND...: starts a process in the background, with its output in NAME.log; its pid is in $!.
start() {
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids+=($!)
}

# address NAME: prints the address of an emulator, for which it waits up to 10 s.
address() {
	local found
	for _ in $(seq 200); do
		found=$(sed -n 's/.*"address":"\([^"]*\)".*/\1/p' "$work/$1.log" 2>/dev/null | tail -1)
		if [ -n "$found" ]; then
			echo "$found"
			return
		fi
		sleep 0.05
	done
	echo "$1 did not start; see $work/$1.log" >&2
	return 1
}

# is_running PID: succeeds if a process started by this script is still running. Any other pid may have been reused by an
# unrelated process and must not be signalled.
is_running() {
	jobs -pr | grep -qx "$1"
}

# select_example: sets the variables that depend on the deployment and copies its keys and secrets to the work directory.
select_example() {
	example=examples/$deployment
	if [ ! -d "$example" ]; then
		echo "unknown deployment $deployment; the examples are: $(ls examples | grep -v _test | tr '\n' ' ')" >&2
		exit 2
	fi
	case $deployment in
	maraval)
		model=drafting models=drafting@2026-09+notes@3 service=bookings call="POST /bookings" step=20
		;;
	cedarline)
		model=tagging models=tagging@2026-09+captions@1 service=licensing call="POST /confirmations" step=20
		;;
	esac
	mapfile -t domains < <(sed -n 's/^failure-domain = //p' "$example"/*.ini)
	mapfile -t files < <(ls "$example"/*.ini)
	sed -n 's/^| `\([^`]*-example-key-[0-9]*\)`.*/\1/p' "$example/README.md" >"$work/keys"
	cp "$example"/*.example "$work/"
}

# endpoint ID KIND NAME ADDRESS DOMAIN: prints one element of the instance list.
endpoint() {
	printf '{"id":"%s","kind":"%s","name":"%s","ip":"%s","ports":{"http":%s},"failure-domain":"%s"}' \
		"$1" "$2" "$3" "${4%:*}" "${4##*:}" "$5"
}

# write_settings EXAMPLE OUTPUT CALLER PEER OPERATOR SEEDS UNREADY-MS: writes the settings of an example with the given
# addresses instead of its own.
write_settings() {
	sed -e "s|^caller = .*|caller = $3|; s|^peer = .*|peer = $4|; s|^operator = .*|operator = $5|" \
		-e "s|^table-endpoint = .*|table-endpoint = http://$(address table)|" \
		-e "s|^objects-endpoint = .*|objects-endpoint = http://$(address objects)|" \
		-e "s|^instance-list = .*|instance-list = http://$(address instances)|" \
		-e "s|^seeds = .*|seeds = $6|; s|^unready-ms = .*|unready-ms = $7|" "$1" >"$2"
}

# wait_ready ADDRESS: waits until an entry instance is ready, or fails after 300 attempts.
wait_ready() {
	for _ in $(seq 300); do
		if curl -sf -m 1 "http://$1/readyz" >/dev/null; then return; fi
		sleep 0.05
	done
	echo "entry instance $1 did not become ready" >&2
	return 1
}

# wait_operator ADDRESS: waits until an operator interface answers, for at most 100 attempts.
wait_operator() {
	for _ in $(seq 100); do
		if curl -sf -m 1 "http://$1/healthz" >/dev/null; then break; fi
		sleep 0.05
	done
}
