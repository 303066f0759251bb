#!/bin/sh
# Checks the stand-ins of the scripts. They need nothing beyond Python's own library.
set -e
cd "$(dirname "$0")"
python3 -c "import ast, pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))"
