# Starts, replaces and supervises the processes of the deployment. The file events has one line per event: time in Unix
# ms, event, subject, further fields.

# now: sets ms to the time in Unix milliseconds, without starting a process.
now() { ms=$((${EPOCHREALTIME/./} / 1000)); }

# log_event EVENT FIELD...: appends a line to the file events.
log_event() {
	now
	echo "$ms $*" >>"$work/events"
}

# signal NAME PID: sends a signal to a process started by this script, if it is still running.
signal() {
	if is_running "$2"; then kill -"$1" "$2"; fi
}

# http_put ADDRESS PATH JSON
http_put() {
	curl -sf -m 3 -o "$work/put.out" -X PUT -H 'Content-Type: application/json' -d "$3" "http://$1$2" || log_event put-failed "$1$2"
}

# start_engine SLOT: starts the engine of a slot at its previous address, or at a free one.
start_engine() {
	local i=$1 id=${engine_id[$1]}
	start "$id" bin/standin engine --listen "${engine_address[$i]:-127.0.0.1:0}" --model "$models" --checks-fencing --step-ms "$step" \
		--prefill-rate 400000 --memory "$memory" --leaving-ms 6000 --drain-ms 20000 --record "$work/$id.record"
	engine_pid[$i]=$!
	[ -n "${engine_address[$i]:-}" ] || engine_address[$i]=$(address "$id")
	engine_marked[$i]=
}

# mark_engine SLOT: configures the engine to crash when it starts a prompt that contains the marker.
mark_engine() {
	if curl -sf -m 1 -o "$work/put.out" -X PUT -d "{\"crash-marker\":\"$marker\"}" "http://${engine_address[$1]}/faults"; then
		engine_marked[$1]=1
	fi
}

# start_service SLOT: starts the service of a slot at its previous address, or at a free one.
start_service() {
	local i=$1
	start "service-$i" bin/standin service --listen "${service_address[$i]:-127.0.0.1:0}" --duration-ms 20 --record "$work/service-$i.record"
	service_pid[$i]=$!
	[ -n "${service_address[$i]:-}" ] || service_address[$i]=$(address "service-$i")
}

# start_entry SLOT: starts an entry instance with a new id and free ports.
start_entry() {
	local i=$1 ports seeds id=$deployment-entry-$((++entry_count))
	ports=($(bin/standin ports 3))
	entry_id[$i]=$id entry_caller[$i]=127.0.0.1:${ports[0]} entry_peer[$i]=127.0.0.1:${ports[1]} entry_operator[$i]=127.0.0.1:${ports[2]}
	seeds=$(printf ', %s' "${entry_peer[@]}")
	write_settings "${files[$((i % 3))]}" "$work/$id.ini" "${entry_caller[$i]}" "${entry_peer[$i]}" "${entry_operator[$i]}" "${seeds:2}" 1000
	sed -i "s|^id = .*|id = $id|" "$work/$id.ini"
	start "$id" "$server" serve "$work/$id.ini"
	entry_pid[$i]=$! entry_state[$i]=starting
	log_event start-entry "$id" "${entry_caller[$i]}"
}

# publish updates the platform's instance list and the load generator's list of ready entry instances.
publish() {
	local i list="" ready=""
	for i in "${!engine_id[@]}"; do
		list+=$(endpoint "${engine_id[$i]}" engine "$model" "${engine_address[$i]}" "${domains[$((i % 3))]}"),
	done
	for i in "${!leaving_id[@]}"; do
		list+=$(endpoint "${leaving_id[$i]}" engine "$model" "${leaving_address[$i]}" "${leaving_domain[$i]}" | sed 's/}$/,"terminating":true},/')
	done
	for i in "${!service_address[@]}"; do
		list+=$(endpoint "$service-$i" service "$service" "${service_address[$i]}" "${domains[$((i % 3))]}"),
	done
	for i in "${!entry_id[@]}"; do
		[ "${entry_state[$i]}" != ended ] || continue
		list+=$(endpoint "${entry_id[$i]}" entry entry "${entry_caller[$i]}" "${domains[$((i % 3))]}" |
			sed "s/\"http\":\([0-9]*\)/\"caller\":\1,\"peer\":${entry_peer[$i]##*:}/"),
		[ "${entry_state[$i]}" != ready ] || ready+=${entry_caller[$i]}$'\n'
	done
	http_put "$(address instances)" /endpoints "[${list%,}]"
	if [ -n "$ready" ]; then
		printf %s "$ready" >"$work/entries.new"
		mv "$work/entries.new" "$work/entries"
	fi
}

# supervise stands in for the platform: it restarts engines and services that exited, replaces entry instances that exited
# unexpectedly, kills those that have not stopped after 30 s, and publishes which entry instances are ready.
supervise() {
	local i status alive changed=
	alive=" $(jobs -pr | tr '\n' ' ')"
	now
	for i in "${!engine_id[@]}"; do
		if [[ $alive == *" ${engine_pid[$i]} "* ]]; then
			[ -n "${engine_marked[$i]}" ] || mark_engine "$i"
			continue
		fi
		if [ -z "${engine_down[$i]:-}" ]; then
			status=0
			wait "${engine_pid[$i]}" 2>/dev/null || status=$?
			log_event exit-engine "${engine_id[$i]}" "$status"
			engine_down[$i]=$((ms + 1000))
		elif [ "$ms" -ge "${engine_down[$i]}" ]; then
			engine_down[$i]=
			start_engine "$i"
		fi
	done
	for i in "${!service_pid[@]}"; do
		[[ $alive == *" ${service_pid[$i]} "* ]] || start_service "$i"
	done
	for i in "${!leaving_pid[@]}"; do
		[[ $alive != *" ${leaving_pid[$i]} "* ]] || continue
		unset "leaving_id[$i]" "leaving_pid[$i]" "leaving_address[$i]" "leaving_domain[$i]"
		changed=1
	done
	for i in "${!stopping_id[@]}"; do
		if [[ $alive != *" ${stopping_pid[$i]} "* ]]; then
			status=0
			wait "${stopping_pid[$i]}" 2>/dev/null || status=$?
			log_event exit-entry "${stopping_id[$i]}" "$status"
			unset "stopping_id[$i]" "stopping_pid[$i]" "stopping_since[$i]"
		elif [ "$ms" -gt $((stopping_since[$i] + 30000)) ]; then
			log_event stuck-entry "${stopping_id[$i]}"
			signal KILL "${stopping_pid[$i]}"
		fi
	done
	for i in "${!entry_id[@]}"; do
		[ "${entry_state[$i]}" != ended ] || continue
		if [[ $alive != *" ${entry_pid[$i]} "* ]]; then
			status=0
			wait "${entry_pid[$i]}" 2>/dev/null || status=$?
			log_event unexpected-exit "${entry_id[$i]}" "$status"
			start_entry "$i"
			changed=1
		elif [ "${entry_state[$i]}" = starting ] && curl -sf -m 0.2 -o "$work/ready.out" "http://${entry_caller[$i]}/readyz"; then
			entry_state[$i]=ready
			log_event ready-entry "${entry_id[$i]}"
			changed=1
		fi
	done
	[ -z "$changed" ] || publish
}
