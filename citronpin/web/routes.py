"""Routing of requests to endpoints by method and path."""

import re
from collections.abc import Callable

from citronpin.web.replies import HttpHandler, HttpRequest, Reply, send_problem

Endpoint = Callable[..., None]


class Routes(HttpHandler):
    """Passes each request to the first endpoint that matches its method and path.

    A pattern may hold ``{name}``, which matches one path segment, and ``{name*}``,
    which matches the rest of the path; both are passed to the endpoint as keyword
    arguments. ``GET`` endpoints also serve ``HEAD``.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern, Endpoint]] = []

    def add(self, method: str, pattern: str, endpoint: Endpoint) -> None:
        """Register an endpoint; method ``*`` matches every method."""
        regex = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", pattern)
        regex = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", regex)
        self._routes.append((method, re.compile(regex + r"\Z"), endpoint))

    def handle(self, req: HttpRequest, reply: Reply) -> None:
        is_known_path = False
        for method, pattern, endpoint in self._routes:
            match = pattern.match(req.path)
            if match is None:
                continue
            is_known_path = True
            if method in ("*", req.method) or (method, req.method) == ("GET", "HEAD"):
                endpoint(req, reply, **match.groupdict())
                return
        status, kind = (
            (405, "method-not-allowed") if is_known_path else (404, "not-found")
        )
        detail = f"{req.method} {req.path} is not served here."
        send_problem(reply, status, kind, detail, "See the API page for the paths.")
