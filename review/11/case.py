"""Case 11: a request crashes each worker that runs it, half a second after its first event.

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
CrashingWorker.crash_after_s = 0.5 if TROUBLE else None  # without the crash the answer takes 2 s

play(functools.partial(play_poison, workers=6, senders=1, again_s=2.0, played_s=60, per_s=8, events=40), HERE)
