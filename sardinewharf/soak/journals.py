"""Journals of what each server handled, in files that survive a crash."""

import os
import pathlib

import msgspec


class Note(msgspec.Struct, tag=True, frozen=True):
    """An entry of a journal, written under the name of its class.

    Attributes:
        at: Monotonic time in seconds; all processes share the clock.
    """

    at: float


class Arrived(Note, frozen=True):
    """A request arrived at a server, which may refuse it.

    Attributes:
        request: Id of the request.
        service: The service that the server belongs to.
        server: Id of the server.
    """

    request: str
    service: str
    server: str = ""


class Refused(Note, frozen=True):
    """A server refused a request without running it.

    Attributes:
        request: Id of the request.
        server: Id of the server.
        status: Status of the response.
        retry_after: Value of its header ``Retry-After``, if any.
    """

    request: str
    server: str
    status: int
    retry_after: str = ""


class Leaving(Note, frozen=True):
    """A response to a request says that its server leaves.

    Attributes:
        request: Id of the request.
        server: Id of the server.
    """

    request: str
    server: str


class Started(Note, frozen=True):
    """A server process started.

    Attributes:
        server: Id of the server.
    """

    server: str


class Registered(Note, frozen=True):
    """The store acknowledged a changed entry of a server.

    Attributes:
        server: Id of the server.
        state: State in the entry.
    """

    server: str
    state: str


class Began(Note, frozen=True):
    """A request started to run.

    Attributes:
        request: Id of the request.
        service: The service that the server belongs to.
        server: Id of the server, which ends in the count of its starts.
        target: Path and query.
        organisation: Organisation that the gateway authenticated.
        has_key: Whether the caller's API key was forwarded.
        salt: Salt of the prefix cache; requests of one salt share a cache.
        weights: Version of the weights that it runs on; 0 for none.
    """

    request: str
    service: str
    server: str
    target: str
    organisation: str
    has_key: bool
    salt: str = ""
    weights: int = 0


class Ended(Note, frozen=True):
    """A request stopped running, whether it completed or was cancelled.

    Attributes:
        request: Id of the request.
        server: Id of the server.
    """

    request: str
    server: str


class Crashed(Note, frozen=True):
    """A request crashed the server that began to run it.

    Attributes:
        request: Id of the request.
        server: Id of the server.
    """

    request: str
    server: str


class Ordered(Note, frozen=True):
    """An engine received an order to load weights.

    Attributes:
        server: Id of the engine.
        holder: Name of the gateway that sent the order as rollout leader.
        fence: Fencing token of the order.
        weights: Version to load.
    """

    server: str
    holder: str
    fence: int
    weights: int


AnyNote = (
    Arrived
    | Refused
    | Leaving
    | Started
    | Registered
    | Began
    | Ended
    | Crashed
    | Ordered
)


class Journal:
    """Appends entries to a file, each with one ``write`` system call.

    No entry that was written is lost when the process is killed.

    Args:
        path: The file; it is created if it does not exist.
    """

    def __init__(self, path: pathlib.Path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o600)

    def write(self, note: AnyNote) -> None:
        """Appends an entry."""
        os.write(self._file, msgspec.json.encode(note) + b"\n")


class JournalReader:
    """Reads the entries that were added since the last read.

    Args:
        path: The file; it may not exist yet.

    Examples:
        >>> import tempfile
        >>> folder = tempfile.TemporaryDirectory()
        >>> path = pathlib.Path(folder.name) / "s1.jsonl"
        >>> Journal(path).write(Arrived(1.0, "r1", "orders"))
        >>> reader = JournalReader(path)
        >>> reader.read()
        [Arrived(at=1.0, request='r1', service='orders', server='')]
        >>> reader.read()
        []
    """

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._offset = 0
        self._decoder = msgspec.json.Decoder(AnyNote)

    def read(self) -> list[AnyNote]:
        """Returns the new entries, oldest first; skips an unfinished line."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            lines = file.read()
        whole = lines[: lines.rfind(b"\n") + 1]
        self._offset += len(whole)
        return [self._decoder.decode(line) for line in whole.splitlines()]
