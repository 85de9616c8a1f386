#!/usr/bin/env bash
# Builds the cases' scripts and the stand-ins that they start, into target/review/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
  npx esbuild "$folder/case.mjs" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/$folder.mjs" --log-level=warning
done
