# Failure injection. begin_failure starts a failure and end_failure ends it; what needs a restart is left to supervise.

# begin_failure KIND TARGET LENGTH VARIANT
begin_failure() {
	local i=$2 half=$(($4 % 2)) outages=(unavailable silent)
	log_event begin "$@"
	case $1 in
	kill-entry)
		log_event kill-entry "${entry_id[$i]}"
		signal KILL "${entry_pid[$i]}"
		wait "${entry_pid[$i]}" 2>/dev/null || true
		start_entry "$i"
		publish
		;;
	stop-entry)
		stop_entry "$i"
		start_entry "$i"
		publish
		;;
	pause-entry)
		paused_pid[$i]=${entry_pid[$i]} paused_id[$i]=${entry_id[$i]}
		signal STOP "${entry_pid[$i]}"
		log_event pause-entry "${entry_id[$i]}"
		;;
	kill-engine)
		signal KILL "${engine_pid[$i]}"
		wait "${engine_pid[$i]}" 2>/dev/null || true
		;;
	leave-engine)
		if ! is_running "${engine_pid[$i]}"; then
			log_event skipped "$1: the engine is down"
			return
		fi
		leaving_id+=("${engine_id[$i]}") leaving_pid+=("${engine_pid[$i]}")
		leaving_address+=("${engine_address[$i]}") leaving_domain+=("${domains[$((i % 3))]}")
		signal TERM "${engine_pid[$i]}"
		log_event leave-engine "${engine_id[$i]}"
		engine_id[$i]=$deployment-engine-$((++engine_count)) engine_address[$i]=
		start_engine "$i"
		publish
		;;
	stall-engine) http_put "${engine_address[$i]}" /faults "{\"crash-marker\":\"$marker\",\"stall-connections\":true}" ;;
	kill-service)
		signal KILL "${service_pid[$i]}"
		wait "${service_pid[$i]}" 2>/dev/null || true
		;;
	stall-service) http_put "${service_address[$i]}" /faults '{"stall-connections":true}' ;;
	stall-platform) http_put "$(address "${emulators[$i]}")" /faults '{"stall-connections":true}' ;;
	table-lost-replies) http_put "$(address table)" /faults '{"lose-reply":true,"applies-to":"writes","share":0.5}' ;;
	table-outage) http_put "$(address table)" /faults "{\"outage\":\"${outages[$half]}\"}" ;;
	table-delay) http_put "$(address table)" /faults "{\"applies-to\":\"writes\",\"share\":0.5,\"delay-before-ms\":$((500 + $4 * 4))}" ;;
	objects-outage) http_put "$(address objects)" /faults "{\"outage\":\"${outages[$half]}\"}" ;;
	list-stale) http_put "$(address instances)" /faults '{"stale-ms":10000}' ;;
	list-silent) http_put "$(address instances)" /faults '{"outage":"silent"}' ;;
	crash-prompt) send_crash_prompt ;;
	commit) commit_manifests 1 "$4" ;;
	concurrent-commits) commit_manifests 2 "$4" ;;
	esac
}

# end_failure KIND TARGET
end_failure() {
	log_event end "$@"
	case $1 in
	pause-entry)
		signal CONT "${paused_pid[$2]}"
		log_event resume-entry "${paused_id[$2]}"
		unset "paused_pid[$2]" "paused_id[$2]"
		;;
	stall-platform) http_put "$(address "${emulators[$2]}")" /faults '{}' ;;
	table-*) http_put "$(address table)" /faults '{}' ;;
	objects-*) http_put "$(address objects)" /faults '{}' ;;
	list-*) http_put "$(address instances)" /faults '{}' ;;
	esac
}

# stop_entry SLOT: starts the graceful shutdown of an entry instance.
stop_entry() {
	now
	stopping_id+=("${entry_id[$1]}") stopping_pid+=("${entry_pid[$1]}") stopping_since+=("$ms")
	log_event term-entry "${entry_id[$1]}"
	signal TERM "${entry_pid[$1]}"
	entry_state[$1]=ended
}

# send_crash_prompt sends a prompt that crashes engines to several instances concurrently, and repeats it on all of them.
send_crash_prompt() {
	local body key targets
	crash_count=$((crash_count + 1))
	log_event crash-prompt "$crash_count"
	key=$(head -1 "$work/keys")
	body="{\"model\":\"$model\",\"max_tokens\":4,\"prompt\":\"$marker number $crash_count of seed $SEED\"}"
	mapfile -t targets <"$work/entries"
	for e in "${targets[@]}" "${targets[@]}"; do
		curl -s -m 12 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' -H 'Request-Timeout-Ms: 8000' \
			-w '\n%{http_code}\n' -d "$body" "http://$e/v1/completions" >>"$work/crash-$crash_count.log" 2>&1 || true
	done &
	pids+=($!)
	sleep 0.05
	for e in "${targets[@]:0:2}"; do
		curl -s -m 12 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' -H 'Request-Timeout-Ms: 8000' \
			-w '\n%{http_code}\n' -d "$body" "http://$e/v1/completions" >>"$work/crash-$crash_count.log" 2>&1 &
		pids+=($!)
	done
}

# commit_manifests COUNT VARIANT: commits COUNT different manifests concurrently through different instances, all replacing
# the version that is active in the first instance that answers.
commit_manifests() {
	local n first version= targets
	mapfile -t targets < <(for i in "${!entry_id[@]}"; do [ "${entry_state[$i]}" != ready ] || echo "${entry_operator[$i]}"; done)
	# A paused instance does not answer; the next one is asked, as an operator would do.
	for n in "${!targets[@]}"; do
		first=$((($2 + n) % ${#targets[@]}))
		version=$(curl -s -m 1 "http://${targets[$first]}/manifest" | grep -o '"version": *[0-9][0-9]*' | head -1 | grep -o '[0-9]*$') || true
		[ -z "$version" ] || break
	done
	if [ -z "$version" ]; then
		log_event skipped "commit: no instance names a version"
		return
	fi
	for n in $(seq "$1"); do
		commit_count=$((commit_count + 1))
		sed "s|\"weight\": 8,|\"weight\": $((8 + commit_count)),|" "$work/manifest.json" >"$work/manifest-$commit_count.json"
		commit "$commit_count" "$version" "${targets[$(((first + n - 1) % ${#targets[@]}))]}" &
		pids+=($!)
	done
}

# commit NUMBER REPLACES OPERATOR: commits manifest NUMBER and logs whether it was accepted.
commit() {
	local status=0 accepted
	bin/poplarwinch manifest commit "$work/manifest-$1.json" --replaces "$2" --commit-id "chaos-$SEED-$1" --operator "$3" \
		>"$work/commit-$1.log" 2>&1 || status=$?
	accepted=$(sed -n 's/^accepted as version \([0-9]*\),.*/\1/p' "$work/commit-$1.log")
	if [ -n "$accepted" ]; then
		log_event accepted "$accepted" "$2" "$1"
	else
		log_event not-accepted "$status" "$2" "$1"
	fi
}
