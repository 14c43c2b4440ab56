"""`python -m rackhub`."""

import sys

from rackhub.cli import main

if __name__ == "__main__":
    sys.exit(main())
