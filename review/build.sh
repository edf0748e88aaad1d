#!/bin/sh
# After the build of the deploy file.  The stand-ins are Python files of the standard library alone, which need
# no build; this checks that the environment's Python can compile them.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -B -c "
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
"
