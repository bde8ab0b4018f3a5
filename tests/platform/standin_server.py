"""HTTP servers of the stand-in of the platform, whose connections tests can refuse, close or reset."""
import json
import socket
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

# Maximum time that a paused request waits for a command of the test to continue. The process does
# not wait for paused requests when it exits.
MAX_WAIT_S = 60
POLL_S = 0.1  # how often a server looks whether it is to shut down


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def common_headers(self):
        """Headers of all responses of this server."""
        return ()

    def respond(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        for name, value in self.common_headers():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    view = None  # addresses of endpoints by those in their entries

    def __init__(self, *arguments, **named):
        self.has_crashed = threading.Event()
        self.queues_connections = False  # after a crash; otherwise it closes them
        self.connections = set()
        self.accepted = 0  # connections so far
        super().__init__(*arguments, **named)

    def get_request(self):
        connection, address = super().get_request()
        self.connections.add(connection)
        self.accepted += 1
        if self.has_crashed.is_set():
            connection.shutdown(socket.SHUT_RD)
        return connection, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        if not self.has_crashed.is_set():
            return super().shutdown_request(request)
        request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return self.close_request(request)  # a reset, without an orderly close before it

    def _handle_request_noblock(self):
        if self.has_crashed.is_set() and self.queues_connections:
            time.sleep(POLL_S)
            return
        super()._handle_request_noblock()

    def refuse_connections(self):
        """Refuses new connections at once."""
        self.socket.shutdown(socket.SHUT_RDWR)

    def close_connections(self):
        """Ends the reads of all connections, which are reset then."""
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # has ended by itself

    def handle_error(self, request, client_address):
        """A client that closes its connection is no error; anything else is printed."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def start_server(handler, state):
    server = Server(("127.0.0.1", 0), handler)
    server.state = state
    threading.Thread(target=server.serve_forever, args=(POLL_S,), daemon=True).start()
    return server, "127.0.0.1:%d" % server.server_address[1]
