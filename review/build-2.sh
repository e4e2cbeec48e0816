#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts in target/review-2. Needs only g++ and the JSON library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
for source in [0-9]*/test.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "../target/review-2/$(dirname "$source")" "$source" -pthread
done
