#!/usr/bin/env bash
# Measures a deployment of separate processes on one machine. Arguments choose
# among latency, processor, prefixes and deployments; all where none is given.
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

title() {
	echo
	echo "== $* ($(cut -d' ' -f1 /proc/loadavg) processes ran on $(nproc) cores in the last minute)"
}

# figures TITLE COMMAND runs a command and prints what the daemons used.
figures() {
	local name=$1 cpu calls start
	shift
	cpu=$(cpu_ticks) calls=$(count_calls) start=$(date +%s%N)
	"$@"
	echo "$name: span $((($(date +%s%N) - start) / 1000000)) ms, daemons' processor time $((($(cpu_ticks) - cpu) * 10)) ms," \
		"largest resident memory $(memory_kb) kB, store calls $(($(count_calls) - calls))"
}

latency() {
	start_deployment "$verbund" 6
	title "warm up"
	send --rate 15 --seconds 15 --check | sed -n 1p
	local mix=(--mix availability=4 --mix pay-deposit=4 --mix check-form=1 --mix draft-plan=1)
	title "direct"
	send "${mix[@]}" --rate 8 --seconds 30 --seed 2 --check --direct
	title "through the system"
	send "${mix[@]}" --rate 8 --seconds 30 --seed 2 --check
	stop_deployment
}

processor() {
	local hosts
	for hosts in 1 3 6; do
		start_deployment "$verbund" "$hosts" --speed 10
		title "$hosts hosts"
		figures idle sleep 10
		send --rate 40 --seconds 8 --check | sed -n 1p
		figures "availability" send --mix availability=1 --rate 200 --seconds 15 --check
		figures "draft-plan" send --mix draft-plan=1 --rate 10 --seconds 15 --check
		figures idle sleep 5
		stop_deployment
	done
}

# whole ANSWERS OPERATOR RATE runs a deployment's own answers.
whole() {
	start_deployment "$1" 8
	title "$1"
	send --rate 15 --seconds 10 --check | sed -n 1p
	figures load send --rate "$3" --seconds 30 --check
	CICADAPITCH_KEY=sample-key-of-$2 "$bin/cicadapitch" report attainment --host "${urls[0]}"
	CICADAPITCH_KEY=sample-key-of-$2 "$bin/cicadapitch" report costs --host "${urls[0]}"
	stop_deployment
}

# prefixes sends 60 prompt prefixes to ten engines that cache eight each.
prefixes() {
	start_deployment "$verbund" 6 --prefill-millis 400 --cache-prefixes 8
	title "warm up"
	send --rate 15 --seconds 15 --check --prefixes 60 | sed -n 1p
	title "direct, by turns"
	send --mix check-form=1 --rate 8 --seconds 30 --seed 3 --check --prefixes 60 --direct
	title "through the system"
	send --mix check-form=1 --rate 8 --seconds 30 --seed 3 --check --prefixes 60
	stop_deployment
}

deployments() {
	whole "$verbund" fleet-desk 15
	whole "$cwrt" court-office 25
}

for part in "${@:-latency processor prefixes deployments}"; do
	for p in $part; do "$p"; done
done
