#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/wisteriadrum ] || [ ! -x bin/review-3/case-14 ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
exec bin/review-3/case-14 review/14/record.txt
