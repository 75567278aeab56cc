#!/usr/bin/env bash
# Measures the time from accepting a document to its being in force at each member: 3 control instances, 3 entries,
# SIDECARS sidecars with stand-in minions, CHANGES changes, on ports from PORTS on. Prints p50 and worst over all members
# and changes, and over the last member of each change.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
sidecars=${SIDECARS:-30}
changes=${CHANGES:-30}
ports=${PORTS:-25000}
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

peers="127.0.0.1:$((ports + 1)),127.0.0.1:$((ports + 2)),127.0.0.1:$((ports + 3))"
export OLEANDERPORT_CONTROL=$peers
daemon() { # role name port
    cat > "$work/$2.toml" <<TOML
[process]
role = "$1"
instance = "$2"
listen = "127.0.0.1:$3"
data_centre = "dc-a"
log_level = "error"
[control]
peers = ["${peers//,/\",\"}"]
data_folder = "$work/$2"
bootstrap = $([ "$2" = control-1 ] && echo true || echo false)
TOML
    "$build/oleanderportd" --settings "$work/$2.toml" 2>>"$work/log" & pids+=($!)
}
for i in 1 2 3; do daemon control "control-$i" $((ports + i)); done
until "$build/oleanderport" apply --file samples/demo/environment.toml >/dev/null 2>&1; do sleep 0.2; done
for i in 1 2 3; do daemon entry "entry-$i" $((ports + 10 + i)); done
for i in $(seq "$sidecars"); do
    daemon sidecar "sidecar-$i" $((ports + 100 + i))
    "$build/fake-minion" --listen "127.0.0.1:$((ports + 500 + i))" --sidecar "127.0.0.1:$((ports + 100 + i))" \
        --service echo --name "minion-$i" 2>>"$work/log" & pids+=($!)
done
members() { "$build/oleanderport" status | grep -c '^\(sidecar\|entry\)' || true; }
until [ "$(members)" = $((sidecars + 3)) ]; do sleep 0.2; done

for i in $(seq "$changes"); do
    sed "s/max_tasks_per_job = .*/max_tasks_per_job = $((900 + i))/" samples/demo/environment.toml > "$work/change.toml"
    "$build/oleanderport" apply --file "$work/change.toml" --wait >/dev/null 2>&1
done

"$build/oleanderport" timeline | awk -v members=$((sidecars + 3)) '
    function milliseconds(text) { split(substr(text, 12, 12), part, ":"); return ((part[1] * 60 + part[2]) * 60 + part[3]) * 1000 }
    $4 == "configuration_applied" && $3 ~ /^control/ { accepted[$7] = milliseconds($2) }
    $4 == "configuration_applied" && $3 !~ /^control/ { at[$6 " " $3] = milliseconds($2) }
    END {
        for (key in at) {
            split(key, part, " ")
            if (part[1] <= 1 || !(part[1] in accepted)) continue
            took = at[key] - accepted[part[1]]
            print "member", took
            if (took > last[part[1]]) last[part[1]] = took
            ++count[part[1]]
        }
        for (version in last) if (count[version] == members) print "all", last[version]
    }' | sort -k1,1 -k2,2n > "$work/times"
for kind in member all; do
    grep "^$kind " "$work/times" | awk -v kind=$kind '{ value[NR] = $2 } END {
        printf "%s: %d samples, p50 %d ms, worst %d ms\n", kind, NR, value[int((NR + 1) / 2)], value[NR] }'
done
