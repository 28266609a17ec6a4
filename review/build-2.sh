#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with all stand-ins that they start,
# into target/review-2. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for source in review/harness-2/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  name="case-$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -o "$out/$name"
done
