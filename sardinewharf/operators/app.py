"""ASGI application of the operator API.

A new configuration document is first planned; nothing takes effect until the
plan is confirmed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import msgspec
from starlette import applications
from starlette import requests as starlette_requests
from starlette import responses
from starlette import routing

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import decoding
from sardinewharf import logs
from sardinewharf.operators import tokens as tokens_lib

_log = logs.get_logger("operators")
_JSON = "application/json"
_LOAD_TIMEOUT_S = 3.0
_COMMIT_TIMEOUT_S = 10.0
_MAX_BODY_BYTES = 64 << 20


@dataclasses.dataclass(slots=True)
class OperatorDependencies:
    """Collaborators of the operator API.

    Attributes:
        holder: Holds the active configuration of this daemon.
        store: Reads and commits versions in the key-value service.
        tokens: The operators and the hashes of their tokens.
        on_commit: Called when a confirmed version has become active here.
        describe: Returns the status of the daemon.
    """

    holder: configuration.ConfigurationHolder
    store: configuration.ConfigurationStore
    tokens: tokens_lib.OperatorTokens
    on_commit: Callable[[], None]
    describe: Callable[[], dict[str, object]]


class _OperatorError(Exception):
    """An error response, with its HTTP status and error code."""

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


_Handler = Callable[
    [starlette_requests.Request, str], Awaitable[responses.Response]
]


class OperatorApp:
    """The HTTP application for operators.

    Args:
        dependencies: The collaborators of the application.
    """

    def __init__(self, dependencies: OperatorDependencies):
        self._dependencies = dependencies

    def make_app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        routes = [
            _make_route("/admin/v1/plan", self._wrap(self._plan), "POST"),
            _make_route("/admin/v1/confirm", self._wrap(self._confirm), "POST"),
            _make_route(
                "/admin/v1/configuration", self._wrap(self._show_configuration)
            ),
            _make_route("/admin/v1/history", self._wrap(self._list_history)),
            _make_route("/admin/v1/status", self._wrap(self._show_status)),
        ]
        return applications.Starlette(routes=routes)

    def _wrap(self, handler: _Handler):
        async def serve(
            http: starlette_requests.Request,
        ) -> responses.Response:
            try:
                operator = self._authenticate(http)
                return await handler(http, operator)
            except _OperatorError as error:
                body = {"error": {"code": error.code, "message": str(error)}}
                return _make_response(body, error.status)

        return serve

    def _authenticate(self, http: starlette_requests.Request) -> str:
        scheme, _, token = http.headers.get("authorization", "").partition(" ")
        operator = None
        if scheme.lower() == "bearer":
            operator = self._dependencies.tokens.find_operator(token.strip())
        if operator is None:
            raise _OperatorError(
                401,
                "not_an_operator",
                "The operator token is missing or not known. Send"
                " 'Authorization: Bearer TOKEN' with your own token.",
            )
        return operator

    async def _plan(
        self, http: starlette_requests.Request, operator: str
    ) -> responses.Response:
        text = (await _read_body(http)).decode("utf-8", "replace")
        try:
            wanted = configuration.parse_document(text)
        except configuration.DocumentError as error:
            raise _OperatorError(400, "wrong_document", str(error)) from error
        current = await self._load_newest()
        plan = configuration.make_plan(
            current.version, current.document, wanted
        )
        _log.info(
            "Operator {} planned {} with {} changes on version {}.",
            operator,
            plan.plan,
            len(plan.changes),
            plan.base,
        )
        return _make_response(plan)

    async def _load_newest(self) -> configuration.Snapshot:
        """Returns the version in the store, or the active one if it is newer.

        The active one is also returned if the store cannot be read.
        """
        active = self._dependencies.holder.snapshot
        loaded = await self._dependencies.store.load(
            active, clocks.Deadline.after(_LOAD_TIMEOUT_S)
        )
        if loaded is None or loaded.version < active.version:
            return active
        return loaded

    async def _confirm(
        self, http: starlette_requests.Request, operator: str
    ) -> responses.Response:
        plan = self._read_plan(await _read_body(http))
        result = await self._dependencies.store.commit(
            plan, operator, clocks.Deadline.after(_COMMIT_TIMEOUT_S)
        )
        match result:
            case configuration.Committed(commit):
                await self._adopt(operator, commit)
                return _make_response(commit)
            case configuration.Stale(newer_commits):
                raise _OperatorError(
                    409,
                    "stale_plan",
                    _describe_newer_commits(plan, newer_commits),
                )
            case configuration.StoreDown(detail):
                raise _OperatorError(
                    503,
                    "not_committed",
                    "Nothing was changed: the key-value service is out"
                    f" ({detail}). Confirm again later.",
                )
            case configuration.CommitUnknown(detail):
                raise _OperatorError(
                    504,
                    "commit_unknown",
                    f"{detail} Confirm the same plan again; it takes effect"
                    " once.",
                )
        raise TypeError(f"unhandled result {result!r}")

    def _read_plan(self, body: bytes) -> configuration.Plan:
        """Returns the plan in a body; refuses one that was modified."""
        try:
            plan = decoding.decode_json(body, configuration.Plan)
            configuration.check_document(plan.wanted)
        except (decoding.DecodeError, configuration.DocumentError) as error:
            raise _OperatorError(
                400,
                "wrong_plan",
                f"This is no plan: {error} Send the answer of 'plan' as it is.",
            ) from error
        if configuration.make_plan_id(plan.base, plan.wanted) != plan.plan:
            raise _OperatorError(
                400,
                "altered_plan",
                "The plan was altered. Send the answer of 'plan' as it is.",
            )
        return plan

    async def _adopt(self, operator: str, commit: configuration.Commit) -> None:
        """Logs a confirmed plan and activates the newest version here."""
        _log.info(
            "Operator {} confirmed {} as version {}.",
            operator,
            commit.plan,
            commit.version,
        )
        snapshot = await self._load_newest()
        if self._dependencies.holder.adopt(snapshot):
            self._dependencies.on_commit()

    async def _show_configuration(
        self, http: starlette_requests.Request, operator: str
    ) -> responses.Response:
        snapshot = self._dependencies.holder.snapshot
        return _make_response(
            {"version": snapshot.version, "document": snapshot.document}
        )

    async def _list_history(
        self, http: starlette_requests.Request, operator: str
    ) -> responses.Response:
        return _make_response(
            self._dependencies.holder.snapshot.manifest.history
        )

    async def _show_status(
        self, http: starlette_requests.Request, operator: str
    ) -> responses.Response:
        return _make_response(self._dependencies.describe())


def _make_route(path: str, handler, method: str = "GET") -> routing.Route:
    return routing.Route(path, handler, methods=[method])


def _make_response(body: object, status: int = 200) -> responses.Response:
    encoded = msgspec.json.encode(body)
    return responses.Response(encoded, status, media_type=_JSON)


async def _read_body(http: starlette_requests.Request) -> bytes:
    body = b""
    async for part in http.stream():
        body += part
        if len(body) > _MAX_BODY_BYTES:
            raise _OperatorError(
                413,
                "document_too_large",
                f"The body has more than {_MAX_BODY_BYTES} bytes."
                " Split the document.",
            )
    return body


def _describe_newer_commits(
    plan: configuration.Plan, newer_commits: tuple[configuration.Commit, ...]
) -> str:
    lines = [
        f"Nothing was changed: version {plan.base} is no longer in force."
        " Plan again. What came first:"
    ]
    for commit in newer_commits:
        changes = "; ".join(commit.changes)
        lines.append(
            f"version {commit.version} by {commit.operator}: {changes}"
        )
    return "\n".join(lines)
