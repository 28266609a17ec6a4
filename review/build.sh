#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/bin/, with the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in net deployment; do
  g++ "${flags[@]}" -c "review/harness/$source.cc" -o "review/bin/$source.o" &
done
wait
for folder in review/[1-5]; do
  [ -f "$folder/case.cc" ] || continue
  g++ "${flags[@]}" "$folder/case.cc" review/bin/net.o review/bin/deployment.o \
    -lboost_json -o "review/bin/case$(basename "$folder")" &
done
wait
