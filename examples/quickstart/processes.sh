#!/usr/bin/env bash
# Runs the deployment of this folder as separate processes on one machine, sends
# one request through each pipeline and stops. With --serve it keeps serving
# until interrupted.
set -euo pipefail
cd "$(dirname "$0")/../.."

mkdir -p bin
go build -o bin ./cmd/cicadapitch ./cmd/cicadapitchd ./cmd/standin

pids=()
# stop_processes terminates all started processes and waits until they have ended.
stop_processes() {
	kill -TERM "${pids[@]}" 2>/dev/null || true
	wait
}
trap stop_processes EXIT

# start_process COMMAND runs a command in the background and appends its errors to
# bin/processes.log.
start_process() {
	"$@" 2>>bin/processes.log &
	pids+=($!)
}

: >bin/processes.log
start_process bin/standin store --listen 127.0.0.1:18001
for port in 18101 18102; do start_process bin/standin service --name encoder --service-millis 10 --listen "127.0.0.1:$port"; done
for port in 18111 18112; do start_process bin/standin service --name retriever --service-millis 15 --listen "127.0.0.1:$port"; done
for port in 18121 18122; do start_process bin/standin service --name reranker --service-millis 20 --listen "127.0.0.1:$port"; done
for port in 18131 18132 18133; do start_process bin/standin engine --token-millis 10 --slots 8 --cold-slots 1 --warm-after 4 --checks-fencing --listen "127.0.0.1:$port"; done
for port in 18141 18142; do start_process bin/standin service --name booking --books --service-millis 30 --listen "127.0.0.1:$port"; done
for host in host-a host-b host-c; do start_process bin/cicadapitchd --settings "examples/quickstart/$host.yaml"; done

until bin/cicadapitch bootstrap --store http://127.0.0.1:18001 --questionnaire examples/quickstart/questionnaire.yaml; do sleep 0.2; done
for port in 18201 18202 18203; do
	until curl --silent --fail --output /dev/null "http://127.0.0.1:$port/readyz"; do sleep 0.1; done
done

bin/cicadapitch request --host http://127.0.0.1:18201 --key sample-key-of-club --pipeline answer --input "which slots are free?"
bin/cicadapitch request --host http://127.0.0.1:18202 --key sample-key-of-club --pipeline book --input "Saturday at ten"
curl --silent http://127.0.0.1:18141/record http://127.0.0.1:18142/record | head -c 600
echo
if [ "${1:-}" = --serve ]; then wait; fi
