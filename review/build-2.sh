#!/bin/sh
# The stand-ins of the second review need the standard library only: check that they compile.
set -e
cd "$(dirname "$0")"
python3 - kit-2/rig.py [4-8]/case.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
print("stand-ins checked")
PY
