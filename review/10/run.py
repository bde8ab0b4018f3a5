"""Case 10: after a waiting watch was cut, a worker that has left the list is used for longer than drain-ms."""
import os
import pathlib
import sys
import threading
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from deployment import CONTACT_S, DRAIN_S, HEARTBEAT_S, Clients, Deployment, sleep_until  # noqa: E402

SERVICE = "confirm"
OTHER_SERVICE = "archive"
PER_S = 40
WORK_S = 0.2
CUT_BEFORE_S = 0.7  # the cut of the watch, before the removal
CHANGE_BEFORE_S = 0.03  # an entry of another service changes, before the removal
EXIT_AFTER_S = 2.35  # from the ack: drain-ms and a little longer
END_AFTER_S = 4.0


def main():
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(HERE, [SERVICE, OTHER_SERVICE])
    try:
        return run(deployment, is_troubled)
    except Exception:  # a case that could not run is no broken rule
        traceback.print_exc()
        return 2
    finally:
        deployment.close()


def beat_regularly(worker):
    next_at = time.monotonic()
    while worker.beats:
        worker.beat()
        next_at += HEARTBEAT_S
        sleep_until(next_at)


def run(deployment, is_troubled):
    record, store = deployment.record, deployment.store
    leaving = deployment.add_worker("i-7f3a91c2", SERVICE, WORK_S)
    other = deployment.add_worker("i-02d9e6b4", OTHER_SERVICE, WORK_S)
    leaving.beat()
    other.beat()
    threading.Thread(target=beat_regularly, args=(leaving,), daemon=True).start()
    deployment.start_gateway()
    clients = Clients(record, deployment.gateway, f"/{SERVICE}/2f", PER_S)
    clients.start()
    begin = time.monotonic()
    remove_at = begin + CONTACT_S + 1

    sleep_until(remove_at - CUT_BEFORE_S)
    if is_troubled:
        with store.changed:
            store.cut_watches_of = "servers/"
            store.changed.notify_all()
        record.line("the store cuts the watches of servers/ that are waiting")
    sleep_until(remove_at - CHANGE_BEFORE_S)
    other.version = "v2"
    other.beat()
    sleep_until(remove_at)
    if not leaving.leave_list():
        return 2
    acked_at = store.removed_at["servers/" + leaving.name]
    sleep_until(acked_at + EXIT_AFTER_S)
    leaving.end()
    sleep_until(acked_at + END_AFTER_S)
    clients.stop()
    return judge(deployment, clients, leaving, acked_at, begin)


def judge(deployment, clients, leaving, acked_at, begin):
    record = deployment.record
    before = [it for it, at in clients.sent_at.items() if at < acked_at]
    served = sum(1 for it in before if clients.answers.get(it) == 200)
    late = [(attempt, at - acked_at) for name, attempt, at in deployment.arrivals
            if name == leaving.name and at > acked_at + DRAIN_S]
    last = max((at - acked_at for name, _, at in deployment.arrivals if name == leaving.name), default=0)
    lost = [it for it, _ in late if clients.answers.get(it) != 200]
    record.line(f"{served} of {len(before)} requests served before the removal; the last request reached "
                f"{leaving.name} {last:.3f} s after the ack, {len(late)} later than {DRAIN_S} s after it; {len(lost)} "
                f"of these got no success: {[clients.answers.get(it) for it in lost]}")
    if served < len(before) / 2:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
