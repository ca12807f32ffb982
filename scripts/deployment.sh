# Functions that run a deployment of separate processes on one machine, for
# scripts that source this file. The caller sets bin (the commands) and work (a
# folder for settings and logs).

pids=()
daemons=()

# start_deployment QUESTIONNAIRE HOSTS [FLAGS of standin deployment] starts the
# stand-ins and as many daemons as HOSTS says.
start_deployment() {
	local answers=$1 hosts=$2 file url
	shift 2
	rm -rf "$work" && mkdir -p "$work"
	"$bin/standin" deployment --questionnaire "$answers" --listen-base 127.0.0.1:19000 --out "$work" "$@" 2>"$work/standin.log" &
	pids=($!)
	daemons=()
	until [ -f "$work/questionnaire.yaml" ] && "$bin/cicadapitch" bootstrap --store http://127.0.0.1:19000 --questionnaire "$work/questionnaire.yaml" >/dev/null 2>&1; do sleep 0.2; done
	urls=()
	for file in $(grep -l CallerListen "$work"/*.yaml | head -n "$hosts"); do
		"$bin/cicadapitchd" --settings "$file" 2>"${file%.yaml}.log" &
		daemons+=($!)
		urls+=("$(sed -n 's/.*"CallerURL": "\(.*\)".*/\1/p' "$file")")
	done
	pids+=("${daemons[@]}")
	for url in "${urls[@]}"; do
		until curl --silent --fail --output /dev/null "$url/readyz"; do sleep 0.1; done
	done
	sleep 4
}

# stop_deployment ends the daemons gracefully, then the stand-ins.
stop_deployment() {
	[ ${#pids[@]} -eq 0 ] && return
	kill -TERM "${pids[@]:1}" 2>/dev/null || true
	wait "${pids[@]:1}" 2>/dev/null || true
	kill -TERM "${pids[0]}" 2>/dev/null || true
	wait "${pids[0]}" 2>/dev/null || true
	pids=()
}

# send FLAGS sends a load to all hosts.
send() {
	local url flags=()
	for url in "${urls[@]}"; do flags+=(--host "$url"); done
	"$bin/cicadapitch" load --questionnaire "$work/questionnaire.yaml" --key-prefix sample-key-of- "${flags[@]}" "$@"
}

# cpu_ticks prints the processor time of all daemons in ticks of 10 ms.
cpu_ticks() {
	local pid sum=0
	for pid in "${daemons[@]}"; do
		sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
	done
	echo "$sum"
}

# memory_kb prints the largest resident size of the daemons.
memory_kb() {
	local pid
	for pid in "${daemons[@]}"; do awk '/VmRSS/{print $2}' "/proc/$pid/status"; done | sort -n | tail -n 1
}

# store_calls prints the calls that the store has counted.
store_calls() { curl --silent http://127.0.0.1:19000/calls; }

# count_calls prints their total.
count_calls() { store_calls | sed 's/"Waiting":[0-9]*,"Refused":[0-9]*//' | grep -o '[0-9]*' | paste -sd+ | bc; }
