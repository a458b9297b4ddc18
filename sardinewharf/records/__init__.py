"""Writes structured log records at a bounded rate."""

from sardinewharf.records import events
from sardinewharf.records.sink import RecordSink
from sardinewharf.records.sink import SinkSettings

__all__ = ["RecordSink", "SinkSettings", "events"]
