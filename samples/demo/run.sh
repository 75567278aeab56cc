#!/usr/bin/env bash
# Starts a local set (control, 3 entries, 11 sidecars with stand-in minions in 3 data centres), runs one job of 990
# tasks through it, prints its answer and stops everything again. BUILD names the build folder.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

control=127.0.0.1:17100
daemon() { # role name listen data-centre
    cat > "$work/$2.toml" <<TOML
[process]
role = "$1"
instance = "$2"
listen = "$3"
data_centre = "$4"
log_level = "warning"
[control]
peers = ["$control"]
data_folder = "$work/$2"
bootstrap = true
TOML
    "$build/oleanderportd" --settings "$work/$2.toml" > "$work/$2.log" 2>&1 & pids+=($!)
}
centre() { local all=(dc-a dc-b dc-c); echo "${all[$(($1 % 3))]}"; }

daemon control control-1 "$control" dc-a
until "$build/oleanderport" apply --control "$control" --file samples/demo/environment.toml 2>/dev/null; do sleep 0.1; done
for i in 1 2 3; do daemon entry "entry-$i" "127.0.0.1:1711$i" "$(centre "$i")"; done
for i in $(seq 11); do
    daemon sidecar "sidecar-$i" "127.0.0.1:$((17200 + i))" "$(centre "$i")"
    "$build/fake-minion" --listen "127.0.0.1:$((17300 + i))" --sidecar "127.0.0.1:$((17200 + i))" \
        --service echo --name "minion-$i" & pids+=($!)
done
# Every process has opened its session and knows of all others.
current() { "$build/oleanderport" status --control "$control" | grep '^\(sidecar\|entry\)' | grep -vc '(behind)'; }
until [ "$(current)" = 14 ]; do sleep 0.1; done

{
    printf '{"caller":"demo-caller","job":"job-1","team":"demo","service":"echo","tasks":['
    for i in $(seq 990); do
        [ "$i" = 1 ] || printf ','
        printf '{"payload":"{\\"sleepMs\\":50,\\"echo\\":\\"answer %d\\"}"}' "$i"
    done
    printf ']}'
} > "$work/job.json"
time "$build/oleanderport" submit --entry 127.0.0.1:17111 --file "$work/job.json" --deadline-in 60000
