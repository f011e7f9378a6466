#!/bin/bash
# Builds the stand-ins of the scripts review/6 to review/10 into target/review-2/.
# Run after the build of the deploy file, from the repository's root or anywhere else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -o "target/review-2/case-$number" "$source" -lboost_json -lpthread
done
