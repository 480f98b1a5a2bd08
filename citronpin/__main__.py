"""Runs the command line with ``python -m citronpin``."""

from citronpin.main import run

if __name__ == "__main__":
    run()
