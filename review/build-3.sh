#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, after the build of the deploy file: the stand-ins and the rig.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j8 --target standin-objects standin-target standin-proxy
mkdir -p target/review-3
for source in review/rig-3/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = rig ] && continue
    c++ -std=c++20 -O2 -Wall -Wextra -Wno-mismatched-new-delete -fno-strict-aliasing "$source" review/rig-3/rig.cpp -o "target/review-3/$name" \
        -lboost_json -pthread &
done
wait
for source in review/rig-3/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = rig ] || [ -x "target/review-3/$name" ]
done
