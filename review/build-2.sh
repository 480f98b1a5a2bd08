#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy
# file. The stand-ins are Python modules; this checks that each can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c "import citronpin.tests.soaks.platforms, review.deployments"
for case in review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    [ ! -f "$case" ] || python3 -c "import ast, sys; ast.parse(open('$case').read())"
done
