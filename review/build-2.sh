#!/bin/sh
# The stand-ins of cases 4 to 8 are Python (review/lib-2/mesh2.py, standard
# library only), so nothing is compiled; this checks that they load.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "python3 is missing (tools/setup.sh installs it)"; exit 2; }
exec python3 -B -c 'import sys; sys.path.insert(0, "review/lib-2"); import mesh2'
