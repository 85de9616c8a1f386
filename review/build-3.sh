#!/bin/sh
# Builds the scripts of the third review, with the stand-ins that they start, into target/review/.
set -e
cd "$(dirname "$0")/.."
for folder in review/1[1-5]; do
  number=$(basename "$folder")
  [ -f "$folder/case.mjs" ] || continue
  npx esbuild "$folder/case.mjs" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review/$number.cjs"
done
