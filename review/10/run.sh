#!/bin/sh
# 0: the rule held; 1: it was broken; 2: the case could not run.  TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -B review/10/case.py
