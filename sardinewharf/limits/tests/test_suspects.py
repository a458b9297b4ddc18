from sardinewharf import limits

_LIFETIME_S = 600.0
_MAX_SUSPECTS = 10_000


def _make_table():
    return limits.SuspectTable(_LIFETIME_S)


def _record_crashes(table, fingerprint=b"f", count=3, at=0.0, prefix="e"):
    for number in range(count):
        crash = limits.Crash(fingerprint, f"{prefix}{number}", at)
        table.record_crash(crash, at)


# A crash lapsed a minute after it happened, though the caller went on.
def test_a_request_that_is_repeated_stays_quarantined():
    table = _make_table()
    _record_crashes(table)
    for trial_at in (3.0, 12.0, 120.0):
        assert table.record_run(b"f", trial_at)
        assert table.is_quarantined(b"f", trial_at)
    for now in range(300, 10_000, 100):
        table.record_repeat(b"f", now)
        assert table.is_quarantined(b"f", now)


def test_a_request_that_is_not_repeated_is_forgotten():
    table = _make_table()
    _record_crashes(table)
    assert not table.is_quarantined(b"f", _LIFETIME_S + 1.0)
    assert not table.is_suspect(b"f", _LIFETIME_S + 1.0)


# Slow repeats crashed one endpoint after the other, each forgotten in time.
def test_crashes_between_slow_repeats_add_up():
    table = _make_table()
    for number in range(3):
        at = 500.0 * number
        table.record_crash(limits.Crash(b"f", f"e{number}", at), at)
    assert table.is_quarantined(b"f", 1_001.0)


def test_a_request_that_completes_is_free_everywhere():
    table, other = _make_table(), _make_table()
    _record_crashes(table)
    for suspect in table.take_changed(8):
        other.merge(suspect, 1.0)
    assert other.is_quarantined(b"f", 1.0)
    assert table.clear(b"f", 2.0)
    late = limits.Crash(b"f", "e9", 1.5)
    assert not table.record_crash(late, 2.0)
    for suspect in table.take_changed(8):
        other.merge(suspect, 2.0)
    assert not other.is_quarantined(b"f", 2.0)


# A full table dropped the oldest crash, whatever it was.
def test_a_full_table_keeps_what_crashed_several_endpoints():
    table = _make_table()
    _record_crashes(table, b"poison")
    for number in range(_MAX_SUSPECTS + 100):
        fingerprint = b"innocent %d" % number
        table.record_crash(limits.Crash(fingerprint, "e9", 1.0), 1.0)
    assert len(table) == _MAX_SUSPECTS
    assert table.is_quarantined(b"poison", 2.0)


# Sixteen requests that ran beside it pushed the one that mattered out of the
# last six crashes, which were all that was sent.
def test_all_suspects_are_shared_in_turn():
    table, other = _make_table(), _make_table()
    _record_crashes(table, b"poison")
    for number in range(100):
        fingerprint = b"innocent %d" % number
        table.record_crash(limits.Crash(fingerprint, "e0", 1.0), 1.0)
    first = table.choose_to_share(2.0, 8)
    assert b"poison" in [suspect.fingerprint for suspect in first]
    for _ in range(101 // 4 + 1):
        for suspect in table.choose_to_share(2.0, 8):
            other.merge(suspect, 2.0)
    assert len(other) == 101


def test_each_change_is_reported_once():
    table = _make_table()
    changes = []
    table.on_change = lambda: changes.append(1)
    _record_crashes(table, b"a", count=1)
    _record_crashes(table, b"b", count=1)
    assert len(changes) == 2
    assert len(table.take_changed(1)) == 1
    assert table.has_changed
    assert len(table.take_changed(8)) == 1
    assert not table.has_changed
    table.merge(limits.Suspect(b"c", 1.0), 1.0)
    assert not table.has_changed


def test_trials_of_several_processes_do_not_coincide():
    table = _make_table()
    _record_crashes(table)
    assert table.is_quarantined(b"f", 2.4)
    assert not table.is_quarantined(b"f", 3.0)
    assert table.is_quarantined(b"f", 3.0, trial_delay_s=3.0)
    assert not table.is_quarantined(b"f", 6.0, trial_delay_s=3.0)


# Many callers of one request lost it whenever an endpoint crashed for another
# reason, and it was refused for that.
def test_a_crash_says_less_of_a_request_that_ran_there_often():
    table = _make_table()
    for number in range(5):
        table.record_crash(limits.Crash(b"f", f"e{number}", 0.0, runs=2), 0.0)
    assert not table.is_quarantined(b"f", 1.0)
    table.record_crash(limits.Crash(b"f", "e5", 0.0, runs=2), 0.0)
    assert table.is_quarantined(b"f", 1.0)


def test_what_ran_alone_is_tried_late():
    table = _make_table()
    for number in range(2):
        crash = limits.Crash(b"f", f"e{number}", 0.0, was_alone=True)
        table.record_crash(crash, 0.0)
    assert table.is_quarantined(b"f", 159.0)
    assert not table.is_quarantined(b"f", 160.0)


# A popular part ran in each engine that another part crashed, and nothing could
# complete on it while all engines were down.
def test_crashes_that_another_suspect_explains_do_not_count():
    table = _make_table()
    table.clear(b"popular", 0.5)
    _record_crashes(table, b"bad", at=1.0)
    _record_crashes(table, b"popular", at=1.0)
    assert table.is_quarantined(b"bad", 1.1)
    assert not table.is_quarantined(b"popular", 1.1)


def test_crashes_beyond_those_of_a_worse_suspect_count():
    table = _make_table()
    table.clear(b"also-bad", 0.5)
    _record_crashes(table, b"bad", at=1.0)
    _record_crashes(table, b"also-bad", at=1.0)
    _record_crashes(table, b"also-bad", at=2.0, prefix="other")
    assert table.is_quarantined(b"also-bad", 2.1)


# Two suspects that always ran together must not excuse each other.
def test_suspects_that_never_completed_explain_nothing_of_each_other():
    table = _make_table()
    _record_crashes(table, b"bad", at=1.0)
    _record_crashes(table, b"companion", at=1.0)
    assert table.is_quarantined(b"bad", 1.1)
    assert table.is_quarantined(b"companion", 1.1)


# Requests on one part crashed several engines before the first crash was known.
def test_runs_of_what_never_completed_follow_one_another():
    table = _make_table()
    _record_crashes(table, count=1, at=1.0)
    assert table.read_hold(b"f") < 1.0
    assert not table.record_run(b"f", 1.1)
    assert table.read_hold(b"f") > 1.2
    assert table.read_hold(b"f", own_run_at=1.1) < 1.2
    _record_crashes(table, count=1, at=1.3, prefix="second")
    assert table.read_hold(b"f") < 1.3


def test_runs_of_what_has_completed_hold_up_nothing():
    table = _make_table()
    table.clear(b"f", 0.5)
    _record_crashes(table, count=2, at=1.0)
    assert not table.record_run(b"f", 1.1)
    assert table.read_hold(b"f") < 1.1


# A run is told to other processes, so that those of all follow one another.
def test_a_run_of_a_suspect_is_told():
    table, other = _make_table(), _make_table()
    _record_crashes(table, count=1, at=1.0)
    table.take_changed(8)
    table.record_run(b"f", 1.1)
    for suspect in table.take_changed(8):
        other.merge(suspect, 1.1)
    assert other.read_hold(b"f") > 1.2


# A full engine refused the trial, and the next one came a minute later.
def test_a_trial_that_no_endpoint_took_is_not_spent():
    table = _make_table()
    _record_crashes(table)
    assert table.record_run(b"f", 3.0) == 1
    assert table.record_run(b"f", 3.5, own_run_at=3.0) == 0
    assert table.record_run(b"f", 20.0) == 2


# Engines that crash at once used up the crashes, and each trial another one.
def test_what_crashed_many_and_never_completed_is_tried_late():
    table = _make_table()
    _record_crashes(table, b"bad", count=6)
    assert table.is_quarantined(b"bad", 60.0)
    assert not table.is_quarantined(b"bad", 110.0)


# Streams that had long begun waited for one another after a crash.
def test_runs_of_what_has_progressed_hold_up_nothing():
    table = _make_table()
    table.record_progress(b"f", 0.5)
    _record_crashes(table, count=2, at=1.0)
    assert not table.record_run(b"f", 1.1)
    assert table.read_hold(b"f") < 1.1
