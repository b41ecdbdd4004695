#!/bin/bash
# Makes the stand-ins of the cases 6 to 10 ready to run: they are plain JavaScript without packages of
# their own, so that it is enough that the workspaces are linked and that each file can be read.
set -eu
cd "$(dirname "$0")/.."
[ -e node_modules/@filbertlatch/platform ] || npm ci --silent
for file in platform/soak/standins/*.js review/standins-2/*.js review/{6,7,8,9,10}/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
