"""Re-exports the platform's names and formats from the platform folder."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] /
                       "platform"))

from stand_in_wire import *  # noqa: E402,F401,F403, after the path is set
