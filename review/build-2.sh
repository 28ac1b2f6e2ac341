#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. They are plain JavaScript without dependencies, so nothing is
# compiled; the files are only checked.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
