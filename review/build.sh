#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program for the platform's store, the backends and the clients. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread review/rig/*.cpp -o build-review/review-rig
