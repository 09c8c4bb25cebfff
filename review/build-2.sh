#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-review-2
cmake -S . -B "$build" -G Ninja -DPLUMSILL_TESTS=OFF >/dev/null
cmake --build "$build" -j 8 --target standin-objects standin-target standin-proxy plumsill_net
for source in review/*/case.cpp; do
    case_folder=$(dirname "$source")
    g++ -std=c++20 -O1 -g1 -Wall -Wextra -Werror -Wno-mismatched-new-delete -Iinclude -Isrc -Itests "$source" -o "$build/case-$(basename "$case_folder")" \
        "$build/libplumsill_net.a" "$build/libplumsill_core.a" -lboost_json -lINIReader -linih -llog4cplus -lcrypto -lxxhash -lpthread
done
