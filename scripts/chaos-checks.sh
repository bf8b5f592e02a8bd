# Checks of the guarantees. Each prints a summary line with counts; report returns non-zero if a guarantee is broken.

broken=0
final=

# print_result NAME COUNT TEXT: prints the summary line of a guarantee that was broken COUNT times.
print_result() {
	if [ "$2" -eq 0 ]; then
		echo "$1 held: $3"
	else
		echo "$1 BROKEN ($2): $3"
		broken=$((broken + 1))
	fi
}

# awk functions: field returns a field of a JSON line.
awk_json='function field(name, a) {
	if (!match($0, "\"" name "\":(\"[^\"]*\"|[^,}]*)")) return ""
	a = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
	gsub(/"/, "", a)
	return a
}
# unix converts a UTC timestamp to Unix milliseconds, by way of the days since 1970-01-01.
function unix(t, y, m, d, era) {
	y = substr(t, 1, 4) + 0; m = substr(t, 6, 2) + 0; d = substr(t, 9, 2) + 0
	if (m <= 2) { y--; m += 12 }
	era = 365 * y + int(y / 4) - int(y / 100) + int(y / 400) + int((153 * (m - 3) + 2) / 5) + d - 1 - 719468
	return ((era * 24 + substr(t, 12, 2)) * 60 + substr(t, 15, 2)) * 60000 + substr(t, 18, 6) * 1000
}
'

# awk rule that reads the file events into arrays.
awk_events='FILENAME == events {
	at = $1
	if ($2 == "start-entry") { caller[$3] = $4; id[$4] = $3 }
	if ($2 == "ready-entry") ready[$3] = at
	if ($2 == "kill-entry") { killed[$3] = at; over[$3] = at }
	if ($2 == "term-entry") { termed[$3] = at; over[$3] = at }
	if ($2 == "exit-entry") { exited[$3] = at; status[$3] = $4 }
	if ($2 == "stuck-entry") stuck[$3] = at
	if ($2 == "unexpected-exit") over[$3] = at
	if ($2 == "pause-entry") { pauses++; pauseID[pauses] = $3; pauseStart[pauses] = at; pauseEnd[pauses] = at + 20000; open[$3] = pauses }
	if ($2 == "resume-entry") pauseEnd[open[$3]] = at
	if ($2 == "leave-engine") left[$3] = at
	if ($2 == "accepted") { commits++; version[commits] = $3; replaces[commits] = $4; acceptedAt[commits] = at }
	if ($2 == "not-accepted") refused[$3]++
	next
}
'

check_time_limits() {
	local out
	out=$(awk -v events="$work/events" -v limit="$limit_ms" "$awk_json$awk_events"'
	{
		s = field("status"); n++; by[s]++
		who = id[substr(field("entry"), 8)]; due = field("due-ms"); end = field("end-ms")
		# A paused instance cannot answer, so its pauses during the request extend the timeout by their length.
		# 250 ms are allowed for the error reply to reach the caller.
		extra = 0
		for (p = 1; p <= pauses; p++) if (pauseID[p] == who && pauseStart[p] < end && pauseEnd[p] > due)
			extra += (pauseEnd[p] < end ? pauseEnd[p] : end) - (pauseStart[p] > due ? pauseStart[p] : due)
		# An instance that was not killed may close a connection without a reply only if a pause exceeded the timeout.
		if (field("kind") == "connection-broken") { if (killed[who]) cut++; else if (extra > 0 && end - due > limit) cutPaused++; else cutLive++ }
		if (s == "lost") lost++
		else if (end - due > limit + extra + 250) { late++; if (late <= 5) print "late " $0 > "/dev/stderr" }
		else if (extra > 0) paused++
	}
	END { printf "%d requests of %d without an answer, %d late; completed %d, not-run %d, failed %d; %d at paused instances, %d cut off by kill -9, %d after a pause beyond the limit, %d by other instances", lost, n, late, by["completed"], by["rejected"], by["failed"], paused, cut, cutPaused, cutLive
		print "|" lost + late + cutLive }' "$work/events" "$work/outcomes")
	print_result "1 time limits" "${out##*|}" "${out%|*}"
}

# settle_memory waits until no engine has reservations, exports or used KV memory, for at most the maximum timeout plus
# 8 s: instances keep abandoned streams for 15 s and reclaim reservations 2 s after their deadline.
settle_memory() {
	local end i
	now
	end=$((ms + max_limit_ms + 8000))
	memory_at=$ms
	while :; do
		supervise
		memory_left=0 memory_text=
		for i in "${!engine_id[@]}"; do measure_engine "${engine_id[$i]}" "${engine_address[$i]}"; done
		for i in "${!leaving_id[@]}"; do measure_engine "${leaving_id[$i]}" "${leaving_address[$i]}"; done
		now
		if [ "$memory_left" = 0 ] || [ "$ms" -gt "$end" ]; then break; fi
		sleep 0.25
	done
	memory_at=$((ms - memory_at))
}

# measure_engine ID ADDRESS: counts the engine in memory_left if it holds KV memory, reservations or exports.
measure_engine() {
	local used reservations exports
	used=$(curl -sf -m 2 "http://$2/metrics" | sed -n 's/^engine_kv_used_tokens //p') || true
	reservations=$(curl -sf -m 2 "http://$2/kv/reservations" | grep -o '"id"' | wc -l) || true
	exports=$(curl -sf -m 2 "http://$2/kv/exports" | grep -o '"id"' | wc -l) || true
	if [ "$used $reservations $exports" != "0 0 0" ]; then
		memory_left=$((memory_left + 1))
		memory_text+="; $1 has ${used:-no answer} tokens in use, $reservations reservations, $exports exports"
	fi
}

check_memory() {
	local i overdue=0
	if [ -n "$final" ]; then
		print_result "2 KV memory" "$memory_left" "$((${#engine_id[@]} + ${#leaving_id[@]})) engines, all free after $memory_at ms$memory_text"
		return
	fi
	# Under load, only reservations and exports that are past their deadline by more than the reclaim time are leaks.
	now
	for i in "${!engine_id[@]}"; do
		overdue=$((overdue + $(for l in reservations exports; do curl -sf -m 2 "http://${engine_address[$i]}/kv/$l"; done |
			grep -o '"deadline-ms":[0-9]*' | awk -F: -v now="$ms" '$2 + 10000 < now { n++ } END { print n + 0 }')))
	done
	print_result "2 KV memory" "$overdue" "$overdue reservations or exports more than 10 s past their deadline"
}

check_answers() {
	local out
	out=$(awk "$awk_json"'{ s = field("status"); n++; if (s == "partial") p++; if (s == "foreign") f++ }
	END { printf "%d requests, %d partial, %d foreign or doubled answers", n, p, f; print "|" p + f }' "$work/outcomes")
	# Mismatched replies to two copies of a call appear only in the report of the load generator.
	local calls=0
	[ -z "$final" ] || calls=$(sed -n 's/^calls .*foreign \([0-9]*\).*/\1/p' "$work/load.log")
	print_result "3 answers" $((${out##*|} + ${calls:-1})) "${out%|*}, ${calls:-?} foreign answers to calls"
}

check_not_run() {
	local prompts calls all
	awk "$awk_json"'field("work") == "prompt" && field("status") == "rejected" { print field("id") }' "$work/outcomes" | sort -u >"$work/not-run-prompts"
	awk "$awk_json"'field("work") == "call" { k = field("key"); seen[k] = 1; if (field("status") != "rejected") other[k] = 1 }
	END { for (k in seen) if (!(k in other)) print k }' "$work/outcomes" | sort >"$work/not-run-calls"
	cat "$work"/*engine-*.record | sed -n 's/.*"stream":"\([^"]*\)-[0-9a-f]*-[0-9]*".*/\1/p' | sort -u >"$work/started-prompts"
	cat "$work"/service-*.record | sed -n 's/.*"key":"\([^"]*\)".*/\1/p' | sort >"$work/executed-calls"
	prompts=$(comm -12 "$work/not-run-prompts" "$work/started-prompts" | tee "$work/false-not-run" | wc -l)
	calls=$(comm -12 "$work/not-run-calls" <(uniq "$work/executed-calls") | tee -a "$work/false-not-run" | wc -l)
	all=$(wc -l <"$work/started-prompts")
	print_result "4 not-run" $((prompts + calls)) "$(wc -l <"$work/not-run-prompts") prompts and $(wc -l <"$work/not-run-calls") calls were told not-run, of these $prompts and $calls ran; $all prompts and $(uniq "$work/executed-calls" | wc -l) calls ran"
	head -5 "$work/false-not-run" | sed 's/^/  ran: /'
}

check_at_most_once() {
	local twice phantom
	twice=$(uniq -d "$work/executed-calls" | wc -l)
	awk "$awk_json"'field("work") == "call" && field("status") == "completed" { print field("key") }' "$work/outcomes" | sort -u >"$work/completed-calls"
	phantom=$(comm -23 "$work/completed-calls" "$work/executed-calls" | wc -l)
	print_result "5 at most once" $((twice + phantom)) "$(wc -l <"$work/executed-calls") executions, $twice calls ran twice, $phantom completed without a run"
}

check_leaving() {
	local out
	out=$(awk -v events="$work/events" -v work="$work/" "$awk_json$awk_events"'
	FNR == 1 { name = FILENAME; sub(work, "", name); sub(".record", "", name) }
	(name in left) { a = field("accepted-ms") - left[name]; if (a > 0) n++; if (a > last) last = a; if (a > 3000) bad++ }
	END { for (e in left) engines++; printf "%d engines left, %d prompts accepted afterwards, the last one after %d ms", engines, n, last; print "|" bad + 0 }' "$work/events" "$work"/*engine-*.record)
	print_result "6 leaving" "${out##*|}" "${out%|*}"
}

check_graceful_stops() {
	local id bad=0 stops=0 unsettled=0 cut status
	while read -r _ _ id; do
		stops=$((stops + 1))
		status=$(awk -v id="$id" '$2 == "exit-entry" && $3 == id { print $4 }' "$work/events")
		if [ -z "$status" ] && [ -z "$final" ]; then continue; fi
		if [ "$status" != 0 ] || ! grep -q '"message":"requests in progress have ended"' "$work/$id.log" ||
			! grep -q '"message":"instance stopped"' "$work/$id.log" || grep -q 'requests still in progress at the end' "$work/$id.log"; then
			bad=$((bad + 1))
			echo "  $id: exit code ${status:-none}"
		fi
		if grep -q '"message":"not settled' "$work/$id.log"; then unsettled=$((unsettled + 1)); fi
	done < <(grep ' term-entry ' "$work/events")
	cut=$(awk -v events="$work/events" "$awk_json$awk_events"'
	field("kind") == "connection-broken" { who = id[substr(field("entry"), 8)]; if (termed[who] && !killed[who] && field("end-ms") + 0 >= termed[who]) { n++; print "  cut off: " $0 > "/dev/stderr" } }
	END { print n + 0 }' "$work/events" "$work/outcomes")
	print_result "7 graceful stops" $((bad + cut)) "$stops stops, $bad without a clean end, $cut requests cut off, $unsettled with claims or reservations not settled"
}

check_configuration() {
	local out
	grep -h '"message":"manifest activated"' "$work"/*entry-*.log >"$work/activated" || true
	out=$(awk -v events="$work/events" -v now="$ms" -v limit=8000 "$awk_json$awk_events"'
	{
		who = field("instance"); v = field("version") + 0; t = unix(field("timestamp"))
		if (v <= highest[who]) back++
		highest[who] = v
		n[who]++; when[who, n[who]] = t; ver[who, n[who]] = v
	}
	END {
		for (c = 1; c <= commits; c++) {
			if (version[c] == 1) continue
			if (against[replaces[c]]++) twice++
			for (who in ready) {
				from = acceptedAt[c] > ready[who] ? acceptedAt[c] : ready[who]
				due = from + limit
				# The limit restarts when a paused instance is resumed.
				for (p = 1; p <= pauses; p++) if (pauseID[p] == who && pauseStart[p] < due && pauseEnd[p] > from) due = pauseEnd[p] + limit
				if (over[who] && over[who] < due || due > now) continue
				checked++; first = 0
				for (i = 1; i <= n[who]; i++) if (ver[who, i] >= version[c] + 0) { first = when[who, i]; break }
				if (!first || first > due) { missed++; print "  version " version[c] " not in effect in " who " in time" > "/dev/stderr" }
				else if (first - due + limit > slowest) slowest = first - due + limit
			}
		}
		for (s in refused) r = r " " refused[s] " with exit code " s
		printf "%d commits accepted, not accepted:%s; %d activations checked, %d too late, slowest %d ms; %d steps back, %d versions replaced twice", commits, r == "" ? " 0" : r, checked, missed, slowest, back, twice
		print "|" missed + back + twice
	}' "$work/events" "$work/activated")
	print_result "8 configuration" "${out##*|}" "${out%|*}"
}

check_crashes() {
	local out
	out=$(awk '$2 == "crash-prompt" { n++; next }
	$2 == "exit-engine" && $4 == 3 { c[n]++; total++ }
	END { for (i in c) { if (c[i] > most) most = c[i]; if (c[i] > 2) bad++ } printf "%d crashing prompts, %d engines crashed, at most %d by one prompt", n, total, most; print "|" bad + 0 }' "$work/events")
	# Prompts of the load generator never crash an engine, but some meet two crashing engines by chance, so their
	# quarantines are only counted.
	print_result "9 crashing prompts" "${out##*|}" "${out%|*}, $(grep -c '"kind":"quarantined"' "$work/outcomes" || true) innocent prompts quarantined"
}

check_invariants() {
	local lines exits
	cat "$work"/*.log | grep -E 'invariant broken|^panic:|panic serving|DATA RACE|^fatal error:|"message":"loop ended"' >"$work/invariants" || true
	lines=$(wc -l <"$work/invariants")
	exits=$(grep -c ' unexpected-exit ' "$work/events") || true
	print_result "10 invariants" $((lines + exits)) "$lines broken invariants, panics or data races, $exits instances ended by themselves"
	head -5 "$work/invariants" | sed 's/^/  /'
}

report() {
	broken=0
	check_time_limits
	check_memory
	check_answers
	check_not_run
	check_at_most_once
	check_leaving
	check_graceful_stops
	check_configuration
	check_crashes
	check_invariants
	if [ "$broken" -gt 0 ]; then
		echo "$broken guarantees broken, seed $SEED" >&2
		return 1
	fi
}
