#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy
# file. The stand-ins are Python modules; this checks that each can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'CODE'
import ast
import importlib
from pathlib import Path

for name in (
    "citronpin.tests.soaks.platforms",
    "review.crowds_2",
    "review.deployments",
    "review.leaving_2",
    "review.long_answers_2",
    "review.ordinary_2",
):
    importlib.import_module(name)
for number in range(6, 11):
    path = Path("review", str(number), "case.py")
    if path.exists():
        ast.parse(path.read_text())
CODE
