#!/bin/sh
# The stand-ins are plain modules of Node.js: there is nothing to compile. This
# checks that each of them, and each case, can be parsed.
cd "$(dirname "$0")" || exit 1
for file in stand_ins/*.mjs ?/case.mjs further/*.mjs; do
  node --check "$file" || exit 1
done
