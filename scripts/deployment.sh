# Functions that run a deployment of separate processes on one machine, for
# scripts that source this file. The script sets bin, the folder of the commands,
# and work, a folder for settings and logs that is emptied at each start.

pids=()
daemons=()

# start_deployment QUESTIONNAIRE HOSTS [FLAGS] starts the stand-ins with FLAGS of
# "standin deployment" and the daemons of the first HOSTS hosts, a number. It waits
# until the daemons are ready and sets urls to the base URLs of the hosts.
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
	# A ready host may still be claiming shards.
	sleep 4
}

# stop_deployment shuts the daemons down gracefully, then the stand-ins.
stop_deployment() {
	[ ${#pids[@]} -eq 0 ] && return
	kill -TERM "${pids[@]:1}" 2>/dev/null || true
	wait "${pids[@]:1}" 2>/dev/null || true
	kill -TERM "${pids[0]}" 2>/dev/null || true
	wait "${pids[0]}" 2>/dev/null || true
	pids=()
}

# send_load FLAGS sends a load to all hosts, with FLAGS of "cicadapitch load".
send_load() {
	local url flags=()
	for url in "${urls[@]}"; do flags+=(--host "$url"); done
	"$bin/cicadapitch" load --questionnaire "$work/questionnaire.yaml" --key-prefix sample-key-of- "${flags[@]}" "$@"
}

# cpu_ticks prints the total processor time of all daemons in ticks of 10 ms.
cpu_ticks() {
	local pid sum=0
	for pid in "${daemons[@]}"; do
		sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
	done
	echo "$sum"
}

# max_resident_kb prints the largest current resident memory of a daemon in kB.
max_resident_kb() {
	local pid
	for pid in "${daemons[@]}"; do awk '/VmRSS/{print $2}' "/proc/$pid/status"; done | sort -n | tail -n 1
}

# store_calls prints the store's counts of calls by kind as JSON.
store_calls() { curl --silent http://127.0.0.1:19000/calls; }

# total_store_calls prints the total number of calls to the store.
total_store_calls() { store_calls | sed 's/"Waiting":[0-9]*,"Refused":[0-9]*//' | grep -o '[0-9]*' | paste -sd+ | bc; }
