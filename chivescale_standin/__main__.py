"""Entry point of ``python -m chivescale_standin``."""

import sys

from chivescale_standin import main

if __name__ == "__main__":
    sys.exit(main())
