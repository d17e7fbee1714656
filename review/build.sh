#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O2 -c support/Support.cpp -o build/Support.o
for source in */case.cpp; do
    g++ -std=c++20 -O2 "$source" build/Support.o -pthread -o "build/case-$(dirname "$source")"
done
