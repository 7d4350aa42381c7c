# Sourced by the other scripts: makes .venv from the lock, unless it is there and up to date.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
stamp=.venv/.lock-installed
if ! cmp -s requirements.lock "$stamp"; then
    python3 -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
    .venv/bin/python -m pip install -qq --disable-pip-version-check --no-deps \
        --no-build-isolation -e .
    cp requirements.lock "$stamp"
fi
