#!/bin/sh
# The stand-ins are Python 3 and need no build: this checks that they compile.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
