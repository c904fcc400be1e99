"""Entry point of `python -m shaletiller.lab`."""

from __future__ import annotations

import sys

from shaletiller.lab.cli import main

if __name__ == "__main__":
    sys.exit(main())
