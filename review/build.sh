#!/usr/bin/env bash
# Builds the programs of the cases from their sources in this folder. They need a compiler and nlohmann-json only, both
# of which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case_${source%/case.cpp}" "$source" stand_in/*.cpp
done
