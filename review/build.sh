#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: nothing to compile, only to check.
set -eu
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do node --check "$file"; done
