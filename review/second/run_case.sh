#!/bin/sh
# Runs a built script: run_case.sh NAME FOLDER, from the root of the checkout.
[ -f "target/review/$1.mjs" ] && [ -f target/entry.cjs ] || exit 2
RECORD="${RECORD:-$2/record.txt}" exec node "target/review/$1.mjs"
