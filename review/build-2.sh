#!/bin/sh
# Builds what the scripts of this review start, after the build of the deploy file. The stand-ins are Python: the check
# is that they, and those of the project that they use, load with nothing but target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -S -m py_compile review/rig2.py review/worker2.py review/plain2.py review/[6-9]/case.py
python3 -S -c 'import sys; sys.path.insert(0, "review"); import rig2'
