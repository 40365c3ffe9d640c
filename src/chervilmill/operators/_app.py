"""WSGI application of the operators' HTTP interface."""

from collections.abc import Callable, Iterable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from chervilmill.http import Environ, StartResponse
from chervilmill.metrics import Metrics
from chervilmill.operators._router import Route, Router

METRICS_PATH = "/metrics"


class OperatorsApp:
    """Serves metrics to any scraper, and all other paths to operators who present the token.

    `refresh` is called before each scrape and updates the metrics that are computed on demand.
    """

    def __init__(
        self,
        token: str,
        metrics: Metrics,
        routes: Iterable[Route],
        refresh: Callable[[], None] = lambda: None,
    ) -> None:
        self._metrics = metrics
        self._refresh = refresh
        self._router = Router(token, routes)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request of an operator or a scraper."""
        if environ["PATH_INFO"] != METRICS_PATH:
            return self._router(environ, start_response)
        self._refresh()
        text = generate_latest(self._metrics.registry)
        headers = [("Content-Type", CONTENT_TYPE_LATEST), ("Content-Length", str(len(text)))]
        start_response("200 OK", headers)
        return [text]
