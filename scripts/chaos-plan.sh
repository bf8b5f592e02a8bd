# The random sequence of failures. It depends only on SEED: all random numbers are drawn here, in the main shell, in the
# same number for each failure, and from planned rather than measured times.

kinds=(kill-entry stop-entry pause-entry kill-engine leave-engine stall-engine kill-service stall-service stall-platform
	table-lost-replies table-outage table-delay objects-outage list-stale list-silent crash-prompt commit
	concurrent-commits)
pending_kinds=()
plan_at=1000  # planned time of the next failure in ms since the start of the load
plan_ends=()  # planned ends of the failures in progress; at most two
declare -A plan_busy # planned end by target; a target has at most one failure at a time

# draw N: sets drawn to a random number from 0 to N-1.
draw() { drawn=$(((RANDOM * 32768 + RANDOM) % $1)); }

# shuffle_kinds fills pending_kinds with each kind once in random order, so that a short run includes every kind.
shuffle_kinds() {
	local i t
	pending_kinds=("${kinds[@]}")
	for ((i = ${#pending_kinds[@]} - 1; i > 0; i--)); do
		draw $((i + 1))
		t=${pending_kinds[$i]} pending_kinds[$i]=${pending_kinds[$drawn]} pending_kinds[$drawn]=$t
	done
}

# next_failure sets event_at, event_kind, event_target, event_length (ms) and event_variant.
next_failure() {
	local busy ends=() e latest
	[ ${#pending_kinds[@]} -gt 0 ] || shuffle_kinds
	event_kind=${pending_kinds[0]} pending_kinds=("${pending_kinds[@]:1}")
	draw 2000
	plan_at=$((plan_at + 300 + drawn))
	draw 1000
	event_variant=$drawn
	draw 10000
	event_length=$((2000 + drawn))
	draw 1000
	event_target=$drawn
	case $event_kind in
	*-entry) event_target=$((event_target % 6)) busy=entry-$event_target ;;
	*-engine) event_target=$((event_target % 9)) busy=engine-$event_target ;;
	*-service) event_target=$((event_target % 3)) busy=service-$event_target ;;
	stall-platform) event_target=$((event_target % 3)) busy=${emulators[$event_target]} ;;
	table-*) busy=table ;;
	objects-*) busy=objects ;;
	list-*) busy=instances ;;
	*) busy=$event_kind ;;
	esac
	case $event_kind in
	pause-entry) ;;
	table-* | objects-* | list-*) event_length=$((2000 + event_length / 2)) ;;
	kill-entry | stop-entry | crash-prompt) event_length=5000 ;;
	*) event_length=3000 ;;
	esac
	[ "${plan_busy[$busy]:-0}" -le "$plan_at" ] || plan_at=${plan_busy[$busy]}
	for e in "${plan_ends[@]}"; do [ "$e" -le "$plan_at" ] || ends+=("$e"); done
	if [ ${#ends[@]} -ge 2 ]; then
		if [ "${ends[0]}" -le "${ends[1]}" ]; then
			plan_at=${ends[0]} latest=${ends[1]}
		else
			plan_at=${ends[1]} latest=${ends[0]}
		fi
		ends=("$latest")
	fi
	event_at=$plan_at
	plan_busy[$busy]=$((event_at + event_length))
	plan_ends=("${ends[@]}" "$((event_at + event_length))")
}
