#!/bin/sh
# Builds what the scripts of this review start: the stand-ins are Python, so that building is a check that they load.
set -e
cd "$(dirname "$0")/.."
python3 -S -m py_compile review/rig2.py review/worker2.py review/[678]*/case.py review/10/case.py 2>/dev/null || true
PYTHONPATH=target/deps:. python3 -S -c 'import sys; sys.path.insert(0, "review"); import rig2'
