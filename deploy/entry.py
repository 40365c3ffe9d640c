"""Start an entry VM from a checkout."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

# A change of the settings tells a process with a signal that by default ends it, also while it
# starts; the settings are read afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from chervilmill.entry.main import main  # noqa: E402

sys.exit(main())
