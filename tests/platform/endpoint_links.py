"""Links between one gateway and the endpoints, which a test can cut and restore.

Each link listens in front of an endpoint. The gateway finds these addresses in its own view of the store.
"""
import os
import selectors
import socket
import struct
import threading

HANG, RESET, REFUSE_NEW = "hang", "reset", "refuse-new"
READ_BYTES = 65536
POLL_S = 0.05
# A listening socket with a full queue of connections leaves further ones without an answer.
QUEUE_FILLERS = 3


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.close(connection.detach())


class Link:
    """Forwards connections to one endpoint, in one thread."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.selector = selectors.DefaultSelector()
        self.peers = {}  # connections by the one that they are joined to
        self.lock = threading.Lock()
        self.is_frozen = False
        self.is_closed = False
        self.fillers = []
        self.silent = []  # connections that hung in a cut
        self.forwarded = 0
        self.listener = self.listen(("127.0.0.1", 0), 128)
        self.address = self.listener.getsockname()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    @staticmethod
    def listen(address, queue):
        out = socket.socket()
        out.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        out.bind(address)
        if queue is not None:
            out.listen(queue)
        return out

    def cut(self, how):
        with self.lock:
            self.listener.close()
            self.listener = self.listen(self.address, 0 if how == HANG else None)
            self.is_frozen = how == HANG
            if how == HANG:
                self.fill_queue()
            if how == RESET:
                for it in list(self.peers):
                    self.drop(it)

    def fill_queue(self):
        for _ in range(QUEUE_FILLERS):
            it = socket.socket()
            it.setblocking(False)
            it.connect_ex(self.address)
            self.fillers.append(it)

    def restore(self):
        """New connections are accepted again; those that hung stay silent."""
        with self.lock:
            for it in self.fillers:
                it.close()
            self.fillers = []
            if self.is_frozen:
                for it in self.peers:
                    self.selector.unregister(it)
                self.silent += self.peers
                self.peers = {}
            self.is_frozen = False
            self.listener.close()
            self.listener = self.listen(self.address, 128)

    def run(self):
        while not self.is_closed:
            self.accept_all()
            if self.is_frozen or not self.peers:
                threading.Event().wait(POLL_S / 10)
                continue
            for key, _ in self.selector.select(POLL_S / 10):
                self.forward(key.fileobj)

    def accept_all(self):
        with self.lock:
            if self.is_frozen:
                return
            self.listener.settimeout(0)
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            try:
                other = socket.create_connection(self.target, timeout=2)
            except OSError:
                reset(connection)
                return
            for one, two in ((connection, other), (other, connection)):
                one.settimeout(5)
                self.peers[one] = two
                self.selector.register(one, selectors.EVENT_READ)

    def forward(self, connection):
        with self.lock:
            if connection not in self.peers or self.is_frozen:
                return
            try:
                data = connection.recv(READ_BYTES)
                if data:
                    self.forwarded += 1
                    self.peers[connection].sendall(data)
                    return
            except OSError:
                pass
            self.drop(connection)

    def drop(self, connection):
        """Ends a connection and the one that it is joined to."""
        other = self.peers.pop(connection, None)
        if other is None:
            return
        self.peers.pop(other, None)
        for it in (connection, other):
            self.selector.unregister(it)
            reset(it)

    def close(self):
        self.is_closed = True
        self.thread.join()
        self.restore()
        self.listener.close()
        self.selector.close()
        for it in [*self.peers, *self.silent]:
            it.close()


class Links:
    """The links of one gateway to all endpoints of a Platform."""

    def __init__(self, platform):
        self.by_endpoint = {k: Link(it) for k, it in platform.addresses["workers"].items()}
        view = {platform.addresses["workers"][k]: "%s:%d" % it.address
                for k, it in self.by_endpoint.items()}
        self.store = platform.send_command(view=view)["store"]

    def cut(self, how, endpoints=None):
        for name, it in self.by_endpoint.items():
            if endpoints is None or name in endpoints:
                it.cut(how)

    def restore(self):
        for it in self.by_endpoint.values():
            it.restore()

    def forwarded(self):
        """Blocks of bytes that were forwarded."""
        return sum(it.forwarded for it in self.by_endpoint.values())

    def close(self):
        for it in self.by_endpoint.values():
            it.close()
