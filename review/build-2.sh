#!/bin/sh
# Builds the stand-ins of the second review, after the deploy build.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 ./review/second/platform
