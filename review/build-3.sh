#!/bin/sh
# The stand-ins of the cases 11 to 15, the project's among them, are plain JavaScript without
# dependencies: there is nothing to build, and this checks that all of them can be read.
set -eu
cd "$(dirname "$0")/.."
for file in platform/soak/standins/*.js review/standins-3/*.js review/1[1-5]/*.js; do
  node --check "$file"
done
