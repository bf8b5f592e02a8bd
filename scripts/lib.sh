# Functions that the scripts that run a deployment in separate processes share. The caller sets work (a directory for
# logs and settings) and deployment (the name of an example).

# start NAME COMMAND...: starts a process that prints its address as the first line of its log; its pid is in $!.
start() {
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids+=($!)
}

# address NAME: waits for the address that an emulator prints.
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

# running PID: reports whether a process that this script started still runs. A pid that is not among the shell's jobs
# may belong to another process by now and must not be signalled.
running() {
	jobs -pr | grep -qx "$1"
}

# select_example: sets the variables that depend on the deployment.
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

# endpoint ID KIND NAME ADDRESS DOMAIN: one element of the instance list.
endpoint() {
	printf '{"id":"%s","kind":"%s","name":"%s","ip":"%s","ports":{"http":%s},"failure-domain":"%s"}' \
		"$1" "$2" "$3" "${4%:*}" "${4##*:}" "$5"
}

# write_settings EXAMPLE OUTPUT CALLER PEER OPERATOR SEEDS UNREADY-MS: the settings of the example with free ports in
# place of its fixed ones.
write_settings() {
	sed -e "s|^caller = .*|caller = $3|; s|^peer = .*|peer = $4|; s|^operator = .*|operator = $5|" \
		-e "s|^table-endpoint = .*|table-endpoint = http://$(address table)|" \
		-e "s|^objects-endpoint = .*|objects-endpoint = http://$(address objects)|" \
		-e "s|^instance-list = .*|instance-list = http://$(address instances)|" \
		-e "s|^seeds = .*|seeds = $6|; s|^unready-ms = .*|unready-ms = $7|" "$1" >"$2"
}

wait_ready() { # ADDRESS
	for _ in $(seq 300); do
		if curl -sf -m 1 "http://$1/readyz" >/dev/null; then return; fi
		sleep 0.05
	done
	echo "entry instance $1 did not become ready" >&2
	return 1
}

wait_operator() { # ADDRESS
	for _ in $(seq 100); do
		if curl -sf -m 1 "http://$1/healthz" >/dev/null; then break; fi
		sleep 0.05
	done
}
