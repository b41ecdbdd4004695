#!/bin/sh
# Exits with 1 if MIXED was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec node review/15/play.js
