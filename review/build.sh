#!/usr/bin/env bash
# Nothing has to be built: the stand-ins and clients in lib/ need only Python's standard library.
# The entry instances use the packages that the build line of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))'
