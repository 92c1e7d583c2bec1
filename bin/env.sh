# Sourced by the other scripts: sets root, python and PYTHONPATH, and makes the environment if needed.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
"$root/bin/setup"
venv=${TAMARACKFIELD_VENV:-$root/.venv}
python=$venv/bin/python
export PYTHONPATH=$root
cd "$root"
