#!/bin/sh
# Builds the programs of the cases of the third review into bin/review-3/.
set -e
cd "$(dirname "$0")/.."
for case in 11 12 13 14; do
  if [ -d "review/$case/platform" ]; then
    go build -o "bin/review-3/case-$case" "./review/$case/platform"
  fi
done
