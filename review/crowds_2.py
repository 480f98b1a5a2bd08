"""Clients that send large bodies and stop just short of their end.

They run in a process of their own, so that they take no time from the stand-ins.
"""

import json
import os
import selectors
import socket
import subprocess
import sys
import time

from review.deployments import ROOT, raise_descriptor_limit, request_head

READ_BYTES = 4_096


class SendingClient:
    """One connection that sends a head and most of a body, then stays open."""

    def __init__(self, *, address, head, pieces, count_bytes):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        self._unsent = head
        self._pieces = pieces  # iterator of bytes
        self._count_bytes = count_bytes
        self.has_stopped = False

    def on_writable(self):
        """Send more; return whether there is more to send."""
        if not self._unsent:
            self._unsent = next(self._pieces, b"")
            if not self._unsent:
                self.has_stopped = True
                return False
        sent = self.sock.send(self._unsent)
        self._count_bytes(sent)
        self._unsent = self._unsent[sent:]
        return True


def sized_pieces(body_bytes, piece_bytes=64 * 1024):
    """Yield a body but for its last byte."""
    piece, left = b"x" * piece_bytes, body_bytes - 1
    while left:
        yield piece[:left]
        left -= len(piece[:left])


def chunked_pieces(body_bytes, chunk_bytes, piece_bytes=16 * 1024):
    """Yield a body in chunks but for the last one; a piece is written at a time."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    count = body_bytes // chunk_bytes - 1
    at_once = max(piece_bytes // len(chunk), 1)
    while count > 0:
        yield chunk * min(at_once, count)
        count -= at_once


class SendingCrowd:
    """Runs many such clients; each sends as fast as the entry reads.

    With ``chunk_bytes`` 0, bodies have a length, else they come in chunks.
    """

    def __init__(self, *, port, body_bytes, chunk_bytes):
        self._address = ("127.0.0.1", port)
        self._body_bytes = body_bytes
        self._chunk_bytes = chunk_bytes
        self._selector = selectors.DefaultSelector()
        self.sent_bytes = 0
        self.opened = 0
        self.stopped = 0  # clients that sent all but the end
        self.answers = {}

    def _count_bytes(self, count):
        self.sent_bytes += count

    def open(self, count):
        framing = "Transfer-Encoding: chunked"
        if not self._chunk_bytes:
            framing = f"Content-Length: {self._body_bytes}"
        for _ in range(count):
            self.opened += 1
            pieces = (
                chunked_pieces(self._body_bytes, self._chunk_bytes)
                if self._chunk_bytes
                else sized_pieces(self._body_bytes)
            )
            client = SendingClient(
                address=self._address,
                head=request_head(
                    "POST",
                    "/swap/1",
                    f"crowd-{self.opened}",
                    framing,
                    deadline_ms=5000,
                ),
                pieces=pieces,
                count_bytes=self._count_bytes,
            )
            both = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._selector.register(client.sock, both, client)

    def run(self, seconds):
        """Send for some seconds."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for key, mask in self._selector.select(0.02):
                self._handle(key.data, mask)

    def _handle(self, client, mask):
        try:
            if mask & selectors.EVENT_READ:
                data = client.sock.recv(READ_BYTES)
                status = data[9:12].decode("latin-1") if data else "closed"
                self.answers[status] = self.answers.get(status, 0) + 1
                if not data:
                    self._close(client)
                    return
            if mask & selectors.EVENT_WRITE and not client.on_writable():
                self.stopped += 1
                self._selector.modify(client.sock, selectors.EVENT_READ, client)
        except BlockingIOError:
            return
        except OSError:
            self.answers["reset"] = self.answers.get("reset", 0) + 1
            self._close(client)

    def _close(self, client):
        self._selector.unregister(client.sock)
        client.sock.close()


def start_crowd(*, port, clients, body_bytes, chunk_bytes, seconds):
    """Start a crowd in a process of its own, which ends by itself."""
    args = [port, clients, body_bytes, chunk_bytes, seconds]
    return subprocess.Popen(
        [sys.executable, "-m", "review.crowds_2", *map(str, args)],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT}/target/deps"},
        stdout=subprocess.PIPE,
        text=True,
    )


def main(port, clients, body_bytes, chunk_bytes, seconds):
    raise_descriptor_limit()
    crowd = SendingCrowd(port=port, body_bytes=body_bytes, chunk_bytes=chunk_bytes)
    crowd.open(clients)
    crowd.run(seconds)
    names = ("opened", "stopped", "sent_bytes", "answers")
    print(json.dumps({name: getattr(crowd, name) for name in names}))


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
