"""Reads the daemon's settings from flags and environment variables."""

import re
from typing import Annotated

import pydantic
import pydantic_settings

from sardinewharf import operators

_ADDRESS = re.compile(r"[0-9A-Za-z.\[\]:-]+:[0-9]{1,5}")
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_REMEDIES = {
    "missing": "set it",
    "extra_forbidden": "remove it, or see --help for the right name",
}


class SettingsError(Exception):
    """Settings are invalid; the message names each and its remedy."""


def _check_address(text: str) -> str:
    if not _ADDRESS.fullmatch(text):
        raise ValueError("must be HOST:PORT, as in 127.0.0.1:8080")
    return text


def _check_addresses(text: str) -> str:
    for address in filter(None, text.split(",")):
        _check_address(address)
    return text


def _check_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("must be up to 63 of a-z, 0-9, '.', '_' and '-'")
    return text


def _check_tokens(text: str) -> str:
    operators.parse_tokens(text)
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Addresses = Annotated[str, pydantic.AfterValidator(_check_addresses)]
Name = Annotated[str, pydantic.AfterValidator(_check_name)]
Tokens = Annotated[str, pydantic.AfterValidator(_check_tokens)]
PositiveNumber = Annotated[float, pydantic.Field(gt=0)]
Count = Annotated[int, pydantic.Field(ge=1)]


class DaemonSettings(pydantic_settings.BaseSettings):
    """Routes language-model traffic with long shared prompts.

    Each flag can also be set as an environment variable, in capitals after
    SARDINEWHARF_, as in SARDINEWHARF_FAILURE_DOMAIN.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix="SARDINEWHARF_",
        cli_prog_name="sardinewharfd",
        cli_kebab_case=True,
        cli_hide_none_type=True,
        extra="forbid",
        frozen=True,
    )

    name: Name = pydantic.Field(description="id of this daemon, unique")
    failure_domain: Name = pydantic.Field(
        description="failure domain in which it runs"
    )
    listen: Address = pydantic.Field(description="HOST:PORT for callers")
    admin_listen: Address = pydantic.Field(
        description="HOST:PORT for operators"
    )
    peer_listen: Address = pydantic.Field(
        description="HOST:PORT for other daemons"
    )
    peer_address: Addresses = pydantic.Field(
        "",
        description="HOST:PORT for other daemons, if not peer_listen",
    )
    peers: Addresses = pydantic.Field(
        "", description="HOST:PORT,HOST:PORT of daemons to contact first"
    )
    kv: Addresses = pydantic.Field(
        description="HOST:PORT,HOST:PORT of the key-value service"
    )
    vm_list: Address = pydantic.Field(description="HOST:PORT of the VM list")
    source_address: str = pydantic.Field(
        "", description="local IP of outgoing connections; empty for any"
    )
    operators: Tokens = pydantic.Field(
        "", description="NAME=SHA256,NAME=SHA256 of operator tokens"
    )
    log_level: str = pydantic.Field(
        "INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="DEBUG, INFO, WARNING or ERROR",
    )
    slots: Count = pydantic.Field(
        512, description="requests that run at a time"
    )
    queue_limit: int = pydantic.Field(
        512, ge=0, description="requests that wait at most"
    )
    queue_seconds: PositiveNumber = pydantic.Field(
        5.0, description="longest wait for a slot"
    )
    max_body_bytes: Count = pydantic.Field(
        8 << 20, description="largest body accepted"
    )
    drain_seconds: float = pydantic.Field(
        5.0,
        ge=0,
        description="time for the balancer to notice a shutdown",
    )
    claim_shards: Count = pydantic.Field(
        2, description="shards of claims, the same at every daemon"
    )
    claim_linger_ms: float = pydantic.Field(
        5.0, ge=0, description="wait for more claims before each commit"
    )
    claim_interval_ms: float = pydantic.Field(
        20.0, ge=0, description="least time between two commits of a shard"
    )
    claim_retention_seconds: PositiveNumber = pydantic.Field(
        86_400.0, description="how long an Idempotency-Key is remembered"
    )
    claim_homes: bool = pydantic.Field(
        True, description="forward each shard's claims to one daemon"
    )
    gossip_seconds: PositiveNumber = pydantic.Field(
        1.0, description="time between gossip exchanges"
    )
    poll_seconds: PositiveNumber = pydantic.Field(
        1.0, description="time between polls of an endpoint"
    )
    vm_list_seconds: PositiveNumber = pydantic.Field(
        2.0, description="time between reads of the VM list"
    )
    quarantine_seconds: PositiveNumber = pydantic.Field(
        600.0, description="how long an endpoint's crash counts"
    )
    prefill_rate: PositiveNumber = pydantic.Field(
        20_000.0, description="prompt tokens an engine computes a second"
    )
    cache_pieces: Count = pydantic.Field(
        512, description="prefix blocks assumed to fit an engine's cache"
    )
    retry_ratio: float = pydantic.Field(
        0.1, ge=0, le=1, description="retries allowed for each request"
    )
    load_seconds: PositiveNumber = pydantic.Field(
        60.0, description="an engine that loads weights for longer has failed"
    )
    loads_at_once: Count = pydantic.Field(
        2, description="engines of a failure domain that load weights at once"
    )


def read_settings(arguments: list[str]) -> DaemonSettings:
    """Returns the settings from flags and environment variables.

    Args:
        arguments: The flags.

    Raises:
        SettingsError: If a setting is invalid; names each and its remedy.
        SystemExit: If help was requested, or a flag is not known.
    """
    try:
        return DaemonSettings(_cli_parse_args=arguments)
    except pydantic.ValidationError as error:
        lines = [_describe_error(item) for item in error.errors()]
        raise SettingsError("\n".join(lines)) from None
    except pydantic_settings.SettingsError as error:
        raise SettingsError(f"sardinewharfd: {error}") from None


def _describe_error(item: dict) -> str:
    name = str(item["loc"][0]) if item["loc"] else "settings"
    flag = "--" + name.replace("_", "-")
    variable = f"SARDINEWHARF_{name.upper()}"
    problem = item["msg"].removeprefix("Value error, ")
    remedy = _REMEDIES.get(item["type"], "correct it")
    return f"sardinewharfd: {flag} ({variable}): {problem}; {remedy}"
