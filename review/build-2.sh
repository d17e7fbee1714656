#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -pthread)
g++ "${flags[@]}" review/support-2/ports.cpp -o target/review-2/ports
g++ "${flags[@]}" -c review/support-2/Support.cpp -o target/review-2/Support.o
for source in review/support-2/case-*.cpp; do
    program=$(basename "$source" .cpp)
    g++ "${flags[@]}" "$source" target/review-2/Support.o -o "target/review-2/$program"
done
