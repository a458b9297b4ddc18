"""Keeps what each server has seen, in a file that outlasts its process."""

import os
import pathlib

import msgspec


class Note(msgspec.Struct, tag=True, frozen=True):
    """Something that a server has seen.

    Attributes:
        at: Monotonic time in seconds, the same for all processes.
    """

    at: float


class Arrived(Note, frozen=True):
    """A request came to a server, which may refuse it.

    Attributes:
        request: Its id.
        service: The service that the server belongs to.
    """

    request: str
    service: str


class Began(Note, frozen=True):
    """A request began to run.

    Attributes:
        request: Its id.
        service: The service that the server belongs to.
        server: The server, with the count of its starts.
        target: Path and query.
        organisation: Whom the gateway took the caller for.
        has_key: Whether the caller's key was passed on.
        salt: Name of the cache that the request shares.
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
    """A request runs no more.

    Attributes:
        request: Its id.
        server: The server.
    """

    request: str
    server: str


class Ordered(Note, frozen=True):
    """An order to load weights came to an engine.

    Attributes:
        server: The engine.
        holder: Who gave it.
        fence: Its fencing token.
        weights: Version to load.
    """

    server: str
    holder: str
    fence: int
    weights: int


AnyNote = Arrived | Began | Ended | Ordered


class Journal:
    """Appends notes to a file, each with one write.

    A process that is killed loses none of them.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o600)

    def write(self, note: AnyNote) -> None:
        """Appends a note."""
        os.write(self._file, msgspec.json.encode(note) + b"\n")


class JournalReader:
    """Reads the notes that were added since the last time.

    Args:
        path: The file; it may not exist yet.

    Examples:
        >>> import tempfile
        >>> folder = tempfile.TemporaryDirectory()
        >>> path = pathlib.Path(folder.name) / "s1.jsonl"
        >>> Journal(path).write(Arrived(1.0, "r1", "orders"))
        >>> reader = JournalReader(path)
        >>> reader.read()
        [Arrived(at=1.0, request='r1', service='orders')]
        >>> reader.read()
        []
    """

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._offset = 0
        self._decoder = msgspec.json.Decoder(AnyNote)

    def read(self) -> list[AnyNote]:
        """Returns the new notes, oldest first."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            lines = file.read()
        whole = lines[: lines.rfind(b"\n") + 1]
        self._offset += len(whole)
        return [self._decoder.decode(line) for line in whole.splitlines()]
