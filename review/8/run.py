"""Case 8: a beat of a worker that the store executes late brings the worker back into use although it is draining."""
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
PER_S = 40
WORK_S = 0.2
LATE_S = 5.8  # the answer of the store is lost, the write is done 1 to 6 s later
DRAIN_AFTER_S = 3.2  # from the lost answer to the ack of `draining`; more than contact-ms
EXIT_AFTER_S = 3.3  # from the ack: drain-ms and a little longer
END_AFTER_S = 5.0


def main():
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(HERE, [SERVICE])
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
    staying = deployment.add_worker("i-02d9e6b4", SERVICE, WORK_S)
    leaving.beat()
    staying.beat()
    threading.Thread(target=beat_regularly, args=(staying,), daemon=True).start()
    deployment.start_gateway()
    clients = Clients(record, deployment.gateway, f"/{SERVICE}/2f", PER_S)
    clients.start()
    time.sleep(2)

    lost_at = time.monotonic()
    if is_troubled:
        with store.changed:
            store.late = ("servers/" + leaving.name, LATE_S)
    leaving.beat()  # without an answer, if troubled
    sleep_until(lost_at + HEARTBEAT_S)
    leaving.beat()
    sleep_until(lost_at + 2 * HEARTBEAT_S)
    leaving.beat()
    sleep_until(lost_at + DRAIN_AFTER_S)
    assert DRAIN_AFTER_S > CONTACT_S
    leaving.state = "draining"
    if not leaving.beat():
        return 2
    acked_at = time.monotonic()
    record.line(f"the store has acknowledged that {leaving.name} is draining")
    threading.Thread(target=beats_while_draining, args=(leaving, acked_at), daemon=True).start()
    sleep_until(acked_at + EXIT_AFTER_S)
    leaving.end()
    sleep_until(acked_at + END_AFTER_S)
    clients.stop()
    return judge(deployment, clients, leaving, acked_at)


def beats_while_draining(worker, acked_at):
    next_at = acked_at + HEARTBEAT_S
    while worker.beats:
        sleep_until(next_at)
        if worker.beats:
            worker.beat()
        next_at += HEARTBEAT_S


def judge(deployment, clients, leaving, acked_at):
    record = deployment.record
    served = sum(1 for it in clients.answers.values() if it == 200)
    late = [(attempt, at - acked_at) for name, attempt, at in deployment.arrivals
            if name == leaving.name and at > acked_at + DRAIN_S]
    unserved = [it for it, _ in late if clients.answers.get(it) != 200]
    record.line(f"{len(clients.answers)} requests, {served} served; {len(late)} reached {leaving.name} later than "
                f"{DRAIN_S} s after the ack, from {min((s for _, s in late), default=0):.3f} s to "
                f"{max((s for _, s in late), default=0):.3f} s; {len(unserved)} of them got no success: "
                f"{[clients.answers.get(it) for it in unserved]}")
    if served < len(clients.answers) / 2:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
