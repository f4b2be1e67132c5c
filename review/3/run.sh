#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec node case.mjs
