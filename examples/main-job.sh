#!/bin/sh
# Demonstrates the main functions on one machine: starts a daemon, a runner and a
# worker, applies a document, sends a request and runs a task. Stops all processes
# at the end.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --bins --examples
bin=${CARGO_TARGET_DIR:-target}/release
data=$(mktemp -d)
pids=
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$data"
}
trap stop EXIT
"$bin/yuccalinkd" --data "$data" --drain-delay 0ms 2>"$data/daemon.log" & pids="$pids $!"
"$bin/examples/runner" --service quotes & pids="$pids $!"
"$bin/examples/worker" --cores 8 & pids="$pids $!"
echo "== apply a document"
"$bin/yuccalink" apply examples/quotes.toml
echo "== send a request through the daemon to the runner"
tries=0
until answer=$(curl -sf -d 'a net of 40 mm' http://127.0.0.1:8080/quotes/drafts); do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || { cat "$data/daemon.log"; exit 1; }
    sleep 0.1
done
echo "$answer"
echo "== run a task on the worker"
"$bin/yuccalink" task submit quotes cut-plan --payload run=200ms --wait
echo "== show the scheduling decisions"
"$bin/yuccalink" decisions | head -4
