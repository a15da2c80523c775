#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to review/8 start. They are Python
# and use the packages that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:review" exec python3 -S -c "
import ast, pathlib
import stand_ins
for path in pathlib.Path('review').glob('[4-8]/*.py'):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
"
