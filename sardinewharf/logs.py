"""Configures logs whose lines name the part of the program that wrote them.

Examples:
    >>> line = format_fields(endpoint="e1", wait_ms=3.25)
    >>> line
    'endpoint=e1 wait_ms=3.25'
"""

import sys

import loguru

from sardinewharf import records

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[part]}: {message}"


def configure_logs(level: str, daemon: str) -> None:
    """Writes log lines at or above ``level`` as text to standard error."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": daemon})
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        colorize=False,
        catch=True,
        backtrace=False,
        diagnose=False,
    )


def configure_records(sink: records.RecordSink) -> None:
    """Writes log lines of level INFO and above as records to ``sink``."""

    def write(message: "loguru.Message") -> None:
        record = message.record
        sink.write(
            records.events.Message(
                part=record["extra"].get("part", ""),
                level=record["level"].name,
                text=str(message).strip(),
            )
        )

    loguru.logger.remove()
    loguru.logger.add(
        write,
        level="INFO",
        format="{message}",
        catch=True,
        backtrace=False,
        diagnose=False,
    )


def get_logger(part: str) -> "loguru.Logger":
    """Returns a logger whose lines name ``part`` as their origin."""
    return loguru.logger.bind(part=part)


def format_fields(**fields: object) -> str:
    """Returns fields as ``name=value`` pairs, in the order given."""
    return " ".join(f"{name}={value}" for name, value in fields.items())
