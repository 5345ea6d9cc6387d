#!/bin/sh
# Builds the program that the scripts of cases 4 to 8 start: stand-ins of the platform's store,
# servers and clients, and the checks. The daemons come from the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
exec go build -tags review -o target/review-cases ./review/stand
