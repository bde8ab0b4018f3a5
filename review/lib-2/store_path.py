"""The path of one gateway to the store: a TCP proxy whose open channels can go silent while new ones work."""
import socket
import threading
import time


class Connection:
    def __init__(self, downstream, upstream):
        self.downstream = downstream
        self.upstream = upstream
        self.is_silent = False
        self.is_idle = True  # the last bytes were a response
        self.moved_at = time.monotonic()
        self.begins_watch = False

    def pump(self, source, target, is_response, on_request):
        try:
            while data := source.recv(65536):
                if self.is_silent:
                    continue
                self.is_idle = is_response
                self.moved_at = time.monotonic()
                if not is_response:
                    on_request(data)
                target.sendall(data)
        except OSError:
            pass
        if not self.is_silent:
            for it in (self.downstream, self.upstream):
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class StorePath:
    def __init__(self, store_address):
        host, port = store_address.rsplit(":", 1)
        self.target = (host, int(port))
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = []
        self.watched_at = 0  # when the gateway last asked for a watch of servers/
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            downstream, _ = self.listener.accept()
            try:
                upstream = socket.create_connection(self.target)
            except OSError:
                downstream.close()
                continue
            for it in (downstream, upstream):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(downstream, upstream)
            self.connections.append(connection)
            for source, target, is_response in ((downstream, upstream, False), (upstream, downstream, True)):
                threading.Thread(target=connection.pump, args=(source, target, is_response, self.on_request),
                                 daemon=True).start()

    def on_request(self, data):
        if b"/kv-watch?prefix=servers/" in data:
            self.watched_at = time.monotonic()

    def silence_idle(self, idle_s):
        """Silences the open channels that have carried nothing for a time. Returns how many."""
        now = time.monotonic()
        idle = [it for it in self.connections if it.is_idle and now - it.moved_at >= idle_s and not it.is_silent]
        for it in idle:
            it.is_silent = True
        return len(idle)
