"""Client of the operators' HTTP API; tries the routers in order."""

import json
import ssl
import typing as t
import urllib.parse

import tornado.httpclient

from amaranthring import errors
from amaranthring import settings

COMMAND_ID_HEADER = "Amaranthring-Command-Id"


class RouterClient:
    """Sends requests to the routers' internal listeners, tried in order.

    Parameters
    ----------
    operator : settings.OperatorSettings
        Addresses, token file and timeout.

    Notes
    -----
    A command carries an id, so a retry through the next router after a lost
    answer cannot run it twice.
    """

    def __init__(self, operator: settings.OperatorSettings):
        section = operator.operator
        self.routers = section.routers.split()
        tokens = settings.read_secrets(section.token_file)
        self.token = next(iter(tokens.values()))
        self.timeout = section.timeout_seconds
        self.ca_file = section.certificate_file
        self.client = tornado.httpclient.HTTPClient()

    def get(self, path: str) -> t.Any:
        """Return the decoded response to a GET request."""
        return self._request("GET", path, None, {})

    def send_command(
        self,
        method: str,
        path: str,
        body: t.Any,
        command_id: str,
        revision: int | None = None,
    ) -> t.Any:
        """Send a command and return the decoded response."""
        headers = {COMMAND_ID_HEADER: command_id}
        if revision is not None:
            headers["If-Match"] = f'"{revision}"'
        return self._request(method, path, body, headers)

    def _request(self, method, path, body, headers) -> t.Any:
        unreachable = []
        for router in self.routers:
            try:
                response = self._request_from(
                    router, method, path, body, headers
                )
            except (OSError, tornado.httpclient.HTTPError) as error:
                unreachable.append(f"{router}: {error}")
                continue
            return _decode(response)
        raise errors.LinkError(
            "no router answered",
            given=f"{len(unreachable)} tried, last {unreachable[-1]}",
            expected="a running router in [operator] routers",
        )

    def _request_from(self, router, method, path, body, headers):
        context = None
        if router.startswith("https"):
            context = ssl.create_default_context(cafile=self.ca_file or None)
        request = tornado.httpclient.HTTPRequest(
            urllib.parse.urljoin(router, path),
            method=method,
            headers={"Authorization": f"Bearer {self.token}", **headers},
            body=None if body is None else json.dumps(body),
            allow_nonstandard_methods=True,
            connect_timeout=self.timeout,
            request_timeout=self.timeout,
            ssl_options=context,
        )
        response = self.client.fetch(request, raise_error=False)
        # tornado reports a refused or timed out connection as code 599.
        if response.code == 599 and response.error is not None:
            raise response.error
        return response


def _decode(response) -> t.Any:
    try:
        body = json.loads(response.body or b"null")
    except ValueError as error:
        raise errors.LinkError(
            "response is not JSON",
            given=response.body[:60],
            expected="a response of a router's internal listener",
        ) from error
    if response.code < 400:
        return body
    record = body.get("error", {}) if isinstance(body, dict) else {}
    record.setdefault("detail", f"HTTP status {response.code}")
    record.setdefault("detail", record.get("message", ""))
    raise errors.from_record(record)
