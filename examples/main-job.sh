#!/bin/sh
# The main job on one machine: a daemon, a runner, a worker, a document, a request
# answered and a task run to its end. Leaves nothing running.
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
echo "== a document is put in force"
"$bin/yuccalink" apply examples/quotes.toml
echo "== a request is answered by the runner, through the daemon"
tries=0
until answer=$(curl -sf -d 'a net of 40 mm' http://127.0.0.1:8080/quotes/drafts); do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || { cat "$data/daemon.log"; exit 1; }
    sleep 0.1
done
echo "$answer"
echo "== a task runs to its end on the worker"
"$bin/yuccalink" task submit quotes cut-plan --payload run=200ms --wait
echo "== how it was decided"
"$bin/yuccalink" decisions | head -4
