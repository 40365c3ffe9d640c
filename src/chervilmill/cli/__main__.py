"""Run the command line as a module."""

import sys

from chervilmill.cli import main

sys.exit(main())
