#!/usr/bin/env bash
# Builds the stand-ins of the third review (cases 11 to 15), after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -S - <<'PY'
import glob
for path in sorted(glob.glob('review/rig3.py') + glob.glob('review/plain3.py') + glob.glob('review/model3.py') + glob.glob('review/1[1-5]/*.py')):
    compile(open(path, encoding='utf-8').read(), path, 'exec')
    print('checked', path)
PY
