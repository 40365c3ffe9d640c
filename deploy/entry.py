"""Start an entry VM from a source checkout."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

# SIGHUP signals a change of the settings, and by default it ends a process, also during start-up.
# A starting process can ignore the signal, because it reads the settings only afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from chervilmill.entry.main import main  # noqa: E402

sys.exit(main())
