#!/usr/bin/env bash
# Builds each case with its stand-ins into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/*/case.mjs; do
  name=$(basename "$(dirname "$case")")
  npx esbuild "$case" --bundle --platform=node --target=node20 --format=cjs \
    --outfile="target/review/$name.cjs" --log-level=warning
done
