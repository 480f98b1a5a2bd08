"""HTTP/1.1 over asyncio streams, with full control over the bytes that are sent."""

import asyncio
import time


class Request:
    """One request as a server read it; header names are in lower case."""

    def __init__(self, *, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Answer:
    """One answer as a client read it; ``complete`` follows its framing."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.sent_s = time.monotonic()
        self.ended_s = None


async def read_head(reader):
    """Return the first line and the headers, or ``None`` at the end of a channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rows = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises `IncompleteReadError` if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request of a channel, or ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method=method, target=target, headers=headers, body=body)


def head_bytes(status, headers):
    """Return the head of an answer."""
    rows = [f"HTTP/1.1 {status} Status"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n"


def answer_bytes(status, body=b"", headers=None):
    """Return a complete answer with a length."""
    return (
        head_bytes(status, {**(headers or {}), "Content-Length": str(len(body))}) + body
    )


def chunk_bytes(data):
    """Return one chunk of a body in chunks."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class ClientChannel:
    """A channel of a client to an entry, kept open between requests."""

    def __init__(self, *, port):
        self._port = port
        self._reader = self._writer = None

    async def send(self, *, method, target, headers, body=b"", timeout_s=8.0):
        """Send a request and return its `Answer`, also if none came in time."""
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._exchange(answer, method, target, headers, body), timeout_s
            )
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.error = type(exc).__name__
        except asyncio.TimeoutError:
            answer.error = "Timeout"
        answer.ended_s = time.monotonic()
        if answer.error:
            self.close()
        return answer

    async def _exchange(self, answer, method, target, headers, body):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        rows = [f"{method} {target} HTTP/1.1"]
        rows += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            rows.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body)
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self._reader):
                answer.body += chunk
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(answer.body) < length:
                data = await self._reader.read(length - len(answer.body))
                if not data:
                    raise ConnectionResetError
                answer.body += data
        else:
            while data := await self._reader.read(65_536):
                answer.body += data
            self.close()
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
