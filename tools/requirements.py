"""Prints the requirements of the project and of its development tools."""

import tomllib
from pathlib import Path

PROJECT_FILE = Path(__file__).parent.parent / "pyproject.toml"


def main() -> None:
    """Print one requirement per line."""
    project = tomllib.loads(PROJECT_FILE.read_text())["project"]
    for name in project["dependencies"] + project["optional-dependencies"]["dev"]:
        print(name)


if __name__ == "__main__":
    main()
