#!/bin/sh
# Builds the scripts of the cases with the stand-ins that they start. Needs `npm ci`, as
# the build of the deploy file has done it. Writes to target/review only.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild review/unframed_answer.ts review/split_route.ts \
  review/spoiled_answer.ts review/stuck_configuration.ts review/two_issuers.ts \
  --bundle --platform=node --target=node20 --format=cjs --out-extension:.js=.cjs \
  --log-level=warning --outdir=target/review
