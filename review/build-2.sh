#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the program. Their stand-ins are
# plain JavaScript without dependencies, so this only checks that each can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand_ins_[2-5]/*.mjs review/[4-8]/*.mjs \
  review/further_2/*/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
