"""Run the daemon as a module."""

import sys

from chervilmill.daemon import main

sys.exit(main())
