#!/bin/sh
# Builds what the scripts of cases 4 to 6 start beside the two programs of the deploy file: stand-ins in plain JavaScript,
# which need no compilation. Checks that each of them can be read, and that the programs are built.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/[456]/*.mjs; do
  node --check "$file"
done
[ -f target/balancer.blob ] && [ -f target/control.blob ] || sh deploy/build.sh
