"""Run the command line as ``python -m chivescale.cli``."""

import sys

from chivescale.cli import main

if __name__ == "__main__":
    sys.exit(main())
