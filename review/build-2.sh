#!/bin/sh
# Build what the cases 6 to 10 start beside the proxy: their stand-ins, which need the standard library alone.
# The proxy itself is built by the deploy file (`.venv`).
set -e
cd "$(dirname "$0")/.."
for file in review/lib2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    [ ! -e "$file" ] || .venv/bin/python -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
