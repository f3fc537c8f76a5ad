#!/bin/sh
# Builds every stand-in of the third review's scripts: they are Python programs (3.8 or later,
# standard library only) that run in the process of the case, so that this only checks that they can
# be read. The project's own programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - standins3.py 9/case.py 10/case.py 11/case.py 12/case.py 13/case.py <<'PY'
import sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
test -x ../target/tools/pierbank-gateway
test -x ../target/tools/pierbank-sidecar
