#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3. Needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
read -ra json < <(pkg-config --cflags --libs jsoncpp)
g++ "${flags[@]}" -c review/standin-3/Standin.cpp -o "$out/Standin.o" "${json[@]}"
for source in review/1[1-5]/Case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" -Ireview/standin-3 "$source" "$out/Standin.o" -o "$out/case-$number" "${json[@]}"
done
