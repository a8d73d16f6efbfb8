#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python programs that
# need only its standard library, which Meson, the build system of the deploy
# file, brings along; so they are only compiled in memory to find errors.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
