#!/bin/sh
# Builds the stand-ins of the review. They are Python programs (3.8 or later, standard library
# only) that run in the process of the case, so that there is nothing to compile: this checks that
# they can be read. The project's own programs are built with the command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PY'
import sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("good:", path)
PY
