#!/bin/bash
# Builds what the scripts of this folder start. The stand-ins are Python and need no more than the programs do, which
# the build of the deploy file puts into target/deps; this checks that they can be imported from there.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:.:review exec python3 -S -B -c 'import load, rig, standins'
