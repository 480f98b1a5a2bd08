"""Prints the packages that the project and its tests need."""

import tomllib
from pathlib import Path

PROJECT_FILE = Path(__file__).parent.parent / "pyproject.toml"


def main() -> None:
    """Print one requirement a line."""
    project = tomllib.loads(PROJECT_FILE.read_text())["project"]
    for name in project["dependencies"] + project["optional-dependencies"]["dev"]:
        print(name)


if __name__ == "__main__":
    main()
