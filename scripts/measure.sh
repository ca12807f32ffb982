#!/usr/bin/env bash
# Measures a deployment of separate processes on one machine. The arguments select
# measurements among latency, processor, prefixes and deployments; the default is
# all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$PWD/bin/measure
mkdir -p bin
go build -o bin ./cmd/cicadapitch ./cmd/cicadapitchd ./cmd/standin
. scripts/deployment.sh
trap stop_deployment EXIT

verbund=examples/questionnaires/windkanal-verbund.yaml
cwrt=examples/questionnaires/cwrt-cymunedol.yaml

# print_title TITLE prints a heading with the load average of the machine.
print_title() {
	echo
	echo "== $* (load average $(cut -d' ' -f1 /proc/loadavg) over the last minute, $(nproc) cores)"
}

# measure_usage TITLE COMMAND runs a command and prints its duration and what the
# daemons used meanwhile: processor time, memory and store calls.
measure_usage() {
	local title=$1 cpu calls start
	shift
	cpu=$(cpu_ticks) calls=$(total_store_calls) start=$(date +%s%N)
	"$@"
	echo "$title: duration $((($(date +%s%N) - start) / 1000000)) ms, daemons' processor time $((($(cpu_ticks) - cpu) * 10)) ms," \
		"largest resident memory $(max_resident_kb) kB, store calls $(($(total_store_calls) - calls))"
}

# latency compares requests through the hosts with direct calls of the endpoints.
latency() {
	start_deployment "$verbund" 6
	print_title "warm up"
	send_load --rate 15 --seconds 15 --check | sed -n 1p
	local mix=(--mix availability=4 --mix pay-deposit=4 --mix check-form=1 --mix draft-plan=1)
	print_title "direct"
	send_load "${mix[@]}" --rate 8 --seconds 30 --seed 2 --check --direct
	print_title "through the system"
	send_load "${mix[@]}" --rate 8 --seconds 30 --seed 2 --check
	stop_deployment
}

# processor measures the resource usage of 1, 3 and 6 hosts, idle and under load.
processor() {
	local hosts
	for hosts in 1 3 6; do
		start_deployment "$verbund" "$hosts" --speed 10
		print_title "$hosts hosts"
		measure_usage idle sleep 10
		send_load --rate 40 --seconds 8 --check | sed -n 1p
		measure_usage "availability" send_load --mix availability=1 --rate 200 --seconds 15 --check
		measure_usage "draft-plan" send_load --mix draft-plan=1 --rate 10 --seconds 15 --check
		measure_usage idle sleep 5
		stop_deployment
	done
}

# measure_deployment QUESTIONNAIRE OPERATOR RATE sends RATE requests per second on
# average to all pipelines of a deployment and prints its reports, with the sample
# key of the operator named OPERATOR.
measure_deployment() {
	start_deployment "$1" 8
	print_title "$1"
	send_load --rate 15 --seconds 10 --check | sed -n 1p
	measure_usage load send_load --rate "$3" --seconds 30 --check
	CICADAPITCH_KEY=sample-key-of-$2 "$bin/cicadapitch" report attainment --host "${urls[0]}"
	CICADAPITCH_KEY=sample-key-of-$2 "$bin/cicadapitch" report costs --host "${urls[0]}"
	stop_deployment
}

# prefixes sends requests with 60 prompt prefixes to ten engines that cache eight
# prefixes each.
prefixes() {
	start_deployment "$verbund" 6 --prefill-millis 400 --cache-prefixes 8
	print_title "warm up"
	send_load --rate 15 --seconds 15 --check --prefixes 60 | sed -n 1p
	print_title "direct, round robin"
	send_load --mix check-form=1 --rate 8 --seconds 30 --seed 3 --check --prefixes 60 --direct
	print_title "through the system"
	send_load --mix check-form=1 --rate 8 --seconds 30 --seed 3 --check --prefixes 60
	stop_deployment
}

# deployments measures both sample deployments with their full mix of pipelines.
deployments() {
	measure_deployment "$verbund" fleet-desk 15
	measure_deployment "$cwrt" court-office 25
}

for list in "${@:-latency processor prefixes deployments}"; do
	for measurement in $list; do "$measurement"; done
done
