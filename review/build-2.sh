#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. Needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
read -ra json < <(pkg-config --cflags --libs jsoncpp)
g++ "${flags[@]}" -c review/standin-2/Standin.cpp -o "$out/Standin.o" "${json[@]}"
for source in review/{6,7,8,9,10}/Case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" -Ireview/standin-2 "$source" "$out/Standin.o" -o "$out/case-$number" "${json[@]}"
done
