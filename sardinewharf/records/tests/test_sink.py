import json
import os
import time

from sardinewharf.records import RecordSink
from sardinewharf.records import SinkSettings
from sardinewharf.records import events


def make_record(text: str = "x") -> events.Record:
    return events.Message("part", "INFO", text)


def test_a_line_is_one_json_object_with_time_and_vm():
    reader, writer = os.pipe()
    RecordSink(writer, "vm-1", SinkSettings()).write(make_record())
    line = json.loads(os.read(reader, 4096))
    assert line.pop("time") > 1e9
    assert line == {
        "vm": "vm-1",
        "event": "message",
        "part": "part",
        "level": "INFO",
        "text": "x",
    }


def test_a_full_pipe_loses_lines_and_counts_them_and_never_blocks():
    reader, writer = os.pipe()
    sink = RecordSink(writer, "vm-1", SinkSettings(per_second=100_000))
    began = time.monotonic()
    for _ in range(400):
        sink.write(make_record("y" * 1_000))
    assert time.monotonic() - began < 1.0
    assert sink.dropped > 0
    os.set_blocking(reader, False)
    taken = b""
    for _ in range(400):
        try:
            taken += os.read(reader, 65_536)
        except BlockingIOError:
            break
        sink.write(make_record())
    lines = [json.loads(t) for t in taken.splitlines()[:-1]]
    assert any("dropped_before" in line for line in lines)
    assert sink.total_dropped + sink.written >= 400


def test_lines_of_one_kind_are_bounded_and_others_still_written():
    reader, writer = os.pipe()
    sink = RecordSink(writer, "vm-1", SinkSettings(per_second=5))
    for _ in range(20):
        sink.write(make_record())
    sink.write(events.Stopping(1))
    lines = [json.loads(t) for t in os.read(reader, 65_536).splitlines()]
    assert lines[-1]["event"] == "stopping"
    assert lines[-1]["dropped_before"] >= 10


def test_a_line_costs_less_than_a_twentieth_of_a_millisecond():
    sink = RecordSink(
        os.open(os.devnull, os.O_WRONLY), "vm", SinkSettings(1 << 30)
    )
    record = events.AttemptFailed("r", 1, "e", "lost", "reset", 12, 3.5)
    began = time.process_time()
    for _ in range(5_000):
        sink.write(record)
    assert (time.process_time() - began) / 5_000 < 50e-6


def test_a_reader_that_is_gone_stops_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    sink = RecordSink(writer, "vm-1", SinkSettings())
    for _ in range(3):
        sink.write(make_record())
    assert sink.written == 3
