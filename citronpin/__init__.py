"""Serves language models whose replicas span several machines."""

__version__ = "0.1.0"

import sys

# circuits imports it only to declare a namespace, which costs each process 4 MB and a
# quarter of its start; without it, it uses pkgutil.
sys.modules.setdefault("pkg_resources", None)
