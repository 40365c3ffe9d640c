"""Run the daemon by `python -m chervilmill.daemon`."""

import sys

from chervilmill.daemon import main

sys.exit(main())
