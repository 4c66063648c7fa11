#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain Python of the standard library, so this
# only checks that each of them compiles; the instances themselves need the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib

sources = sorted(pathlib.Path("review/rig").glob("*.py")) + sorted(
    path for number in range(4, 9) for path in pathlib.Path(f"review/{number}").glob("*.py")
)
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} sources compile")
EOF
