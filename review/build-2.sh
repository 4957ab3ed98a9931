#!/bin/sh
# Builds the scripts of the second review's cases, with the stand-ins that they start, into
# target/review. The stand-in of the store is the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/second/*.ts; do
  name=$(basename "$source" .ts)
  case $name in deployment | *_fleet) continue ;; esac
  node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning --outfile="target/review/$name.mjs" \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
done
