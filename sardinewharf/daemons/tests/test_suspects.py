"""What daemons tell each other of requests and messages that are suspect."""

from sardinewharf import limits
from sardinewharf.daemons import digests


def _make_table(count=3):
    table = limits.SuspectTable(600.0)
    for number in range(count):
        crash = limits.Crash(b"f", f"engine-{number}", 1.0)
        table.record_crash(crash, 1.0)
    return table


def _tell(table, other, now):
    for suspect in table.choose_states_to_share(now, 32):
        message = digests.encode_suspect(suspect, now)
        other.merge(digests.decode_suspect(message, now), now)


# Each daemon went on refusing what had completed at another one.
def test_a_completion_frees_it_at_other_daemons():
    table, other = _make_table(), _make_table()
    assert other.is_quarantined(b"f", 2.0)
    table.clear(b"f", 2.0)
    _tell(table, other, 2.5)
    assert not other.is_quarantined(b"f", 2.5)


# Each daemon began trials of its own, so that these added up.
def test_trials_of_all_daemons_are_counted_together():
    table, other = _make_table(), _make_table()
    assert table.record_run(b"f", 5.0) == 1
    _tell(table, other, 5.5)
    assert other.record_run(b"f", 20.0) == 2


def test_all_completions_are_told_in_turn():
    table, other = limits.SuspectTable(600.0), limits.SuspectTable(600.0)
    for number in range(50):
        fingerprint = b"%d" % number
        table.record_crash(limits.Crash(fingerprint, "e", 1.0), 1.0)
        table.clear(fingerprint, 2.0)
    for _ in range(10):
        for suspect in table.choose_states_to_share(2.0, 8):
            other.merge(suspect, 2.0)
    assert len(other) >= 44
