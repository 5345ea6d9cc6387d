#!/bin/sh
# Builds the stand-ins of the review's scripts; the daemon is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
