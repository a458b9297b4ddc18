"""Client of the operator API."""

import asyncio
import dataclasses

import aiohttp
import msgspec

from sardinewharf import clients

_REQUEST_TIMEOUT_S = 60.0


class ToolError(Exception):
    """A failed command; the message says how to correct it.

    Args:
        message: The cause and the remedy.
        exit_code: Exit code of the command-line tool.
    """

    def __init__(self, message: str, exit_code: int):
        super().__init__(message)
        self.exit_code = exit_code


EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_STALE_PLAN = 3
EXIT_COMMIT_UNKNOWN = 4
_EXIT_CODES = {
    "stale_plan": EXIT_STALE_PLAN,
    "commit_unknown": EXIT_COMMIT_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorClient:
    """Client of a daemon's operator API.

    Attributes:
        address: ``HOST:PORT`` of the daemon's operator API.
        token: The operator's token.
    """

    address: str
    token: str

    def get(self, path: str) -> object:
        """Gets a path and returns the decoded response.

        Raises:
            ToolError: If the daemon returned an error or no valid response.
        """
        return asyncio.run(self._call("GET", path, b""))

    def post(self, path: str, body: bytes) -> object:
        """Posts a body to a path and returns the decoded response.

        Raises:
            ToolError: If the daemon returned an error or no valid response.
        """
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: bytes) -> object:
        headers = {"Authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        url = f"http://{self.address}/admin/v1/{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, data=body, headers=headers
                ) as response,
            ):
                result = msgspec.json.decode(await clients.read_body(response))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ToolError(
                f"No response from {self.address}: {error}."
                " Try another daemon with --daemon.",
                EXIT_FAILED,
            ) from error
        except msgspec.DecodeError as error:
            raise ToolError(
                f"{self.address} is not the operator address of a daemon."
                " Correct --daemon.",
                EXIT_USAGE,
            ) from error
        if isinstance(result, dict) and "error" in result:
            code = _EXIT_CODES.get(result["error"]["code"], EXIT_FAILED)
            raise ToolError(result["error"]["message"], code)
        return result
