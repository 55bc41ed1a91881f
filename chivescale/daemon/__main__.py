"""Run the daemon as ``python -m chivescale.daemon``."""

import sys

from chivescale.daemon import main

if __name__ == "__main__":
    sys.exit(main())
