#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the second configuration out.
exec python3 -S "$(dirname "${BASH_SOURCE[0]}")/case.py"
