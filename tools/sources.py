"""Puts the package sources of this working copy first on the import path when imported."""

import sys
from pathlib import Path

__all__ = ["ROOT"]

ROOT = Path(__file__).resolve().parent.parent

sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
