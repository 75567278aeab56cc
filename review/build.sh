#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/build/, against the library that the build of deploy/system.toml leaves in
# target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Iinclude -Isrc -Itest -Ireview/standin)
libraries=(target/liboleanderport.a -levent -lfmt -ljsonrpccpp-client -ljsonrpccpp-common -ljsoncpp -lxxhash -pthread)
objects=()
pids=()
for source in review/standin/*.cpp test/support/ScenarioProcesses.cpp; do
    object=review/build/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/[1-5]/Case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" -o "review/build/case-$(basename "$(dirname "$source")")" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
