#!/usr/bin/env bash
# Prepares the stand-ins of the scripts of the second review. They are one Python file without
# dependencies, so that nothing has to be built; the programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' review/standins2.py review/[4-8]/case.py
test -x target/tools/pierbank-gateway
test -x target/tools/pierbank-sidecar
