"""Case 13: a request crashes both workers of a small service; they are back at other addresses.

TROUBLE=0: it does no harm.
"""
import functools
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from crash import CrashingWorker, play_poison  # noqa: E402
from fleet import play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CrashingWorker.crash_after_s = 0.1 if TROUBLE else None
CrashingWorker.answers_first = not TROUBLE
CrashingWorker.back_s = 4.0
CrashingWorker.moves = True

play(functools.partial(play_poison, workers=2, senders=1, again_s=2.0, played_s=60, per_s=8), HERE)
