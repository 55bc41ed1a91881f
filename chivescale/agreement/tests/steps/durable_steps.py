"""Steps for the durable log and its data folder."""

import errno
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from behave import given, then, when

from chivescale import agreement as ag
from chivescale.agreement._records import Batch, encode_record
from chivescale.errors import ErrorKind, is_failure

MEMBERS = ag.Configuration((ag.Member("c0", "a", "i"),))
LOG = "agreement.log"
SNAPSHOT = "agreement.snapshot"


def _folder(context) -> pathlib.Path:
    path = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, path, ignore_errors=True)
    return path


def _store(log, *entries, state=None) -> None:
    assert log.append(state, entries) is None
    assert log.sync() is None


def _entry(index: int, term: int = 1) -> ag.Entry:
    return ag.Entry(index, term, data=b"data-%d" % index)


def _reopen(folder):
    log = ag.DurableLog(folder)
    found = log.open()
    log.close()
    return found


@given("a log of {count:d} records")
def log_of_records(context, count):
    context.folder = _folder(context)
    log = ag.DurableLog(context.folder)
    assert not is_failure(log.open())
    context.ends = [(context.folder / LOG).stat().st_size]
    for index in range(1, count + 1):
        _store(log, _entry(index), state=ag.HardState(index, "c0/i"))
        context.ends.append((context.folder / LOG).stat().st_size)
    log.close()


@given("a log with a replaced tail and a snapshot")
def log_with_snapshot(context):
    context.folder = _folder(context)
    log = ag.DurableLog(context.folder)
    context.incarnation = log.open().incarnation
    _store(log, *(_entry(i) for i in range(1, 9)), state=ag.HardState(1, "x"))
    _store(log, _entry(6, 2), _entry(7, 2), state=ag.HardState(2, "c1/j"))
    context.snapshot = ag.Snapshot(5, 1, MEMBERS, b"state")
    kept = (_entry(6, 2), _entry(7, 2))
    assert (
        log.snapshot(context.snapshot, ag.HardState(2, "c1/j"), kept) is None
    )
    _store(log, _entry(8, 2))
    log.close()


@then(
    "a restart recovers the term, the vote and the entries after the snapshot"
)
def restart_recovers_all(context):
    found = _reopen(context.folder)
    assert found.incarnation == context.incarnation
    assert found.hard_state == ag.HardState(2, "c1/j")
    assert found.snapshot == context.snapshot
    assert found.entries == tuple(_entry(i, 2) for i in (6, 7, 8))


@then(
    "cut at any length it recovers the complete records and accepts new ones"
)
def truncate_anywhere(context):
    path = context.folder / LOG
    data = path.read_bytes()
    for length in range(context.ends[0], len(data)):
        path.write_bytes(data[:length])
        complete = sum(end <= length for end in context.ends) - 1
        log = ag.DurableLog(context.folder)
        found = log.open()
        assert not is_failure(found), (length, found)
        assert len(found.entries) == found.hard_state.term == complete
        _store(log, _entry(complete + 1))
        log.close()
        assert len(_reopen(context.folder).entries) == complete + 1


@when("a record is written whose last sector contains only zeros")
def zero_sector(context):
    entry = ag.Entry(7, 1, data=b"x" * 2000)
    record = encode_record(Batch(None, (entry,)))
    size = (context.folder / LOG).stat().st_size
    kept = (size + len(record)) // 512 * 512 - size
    with (context.folder / LOG).open("ab") as file:
        file.write(record[:kept] + bytes(len(record) - kept))


@then("a restart recovers {count:d} records")
def restart_recovers(context, count):
    found = _reopen(context.folder)
    assert not is_failure(found), found
    assert len(found.entries) == count
    assert ag.check_folder(context.folder).torn_bytes == 0


@then("a restart recovers at least {count:d} records")
def restart_recovers_at_least(context, count):
    found = _reopen(context.folder)
    assert not is_failure(found), found
    assert len(found.entries) >= count


@then("with any byte changed the start fails and names file and offset")
def flip_anywhere(context):
    path = context.folder / LOG
    data = path.read_bytes()
    starts = [0, *context.ends]
    for position in range(len(data)):
        changed = bytearray(data)
        changed[position] ^= 0x55
        path.write_bytes(changed)
        found = _reopen(context.folder)
        assert is_failure(found), position
        assert found.kind is ErrorKind.STORAGE_CORRUPT
        start = max(s for s in starts if s <= position)
        assert f"{path}: offset {start}:" in found.reason, found


def _damage(folder: pathlib.Path, damage: str) -> None:
    log, image = folder / LOG, folder / SNAPSHOT
    data = log.read_bytes()
    match damage:
        case "snapshot byte changed":
            content = bytearray(image.read_bytes())
            content[-5] ^= 1
            image.write_bytes(content)
        case "snapshot cut":
            image.write_bytes(image.read_bytes()[:-3])
        case "snapshot missing":
            image.unlink()
        case "snapshot of another":
            with tempfile.TemporaryDirectory() as other:
                spare = ag.DurableLog(other)
                spare.open()
                spare.snapshot(
                    ag.Snapshot(5, 1, MEMBERS, b""), ag.HardState(), ()
                )
                spare.close()
                shutil.copy(pathlib.Path(other) / SNAPSHOT, image)
        case "log missing":
            log.unlink()
        case "log emptied":
            log.write_bytes(b"")
        case "zeros before a record":
            start = data.rindex(b"CHV1")
            log.write_bytes(data[:start] + bytes(1024) + data[start:])
        case "random bytes at end":
            log.write_bytes(data + b"\x91\x07\x5c\xee" * 25)


@when("the folder is damaged: {damage}")
def damage_folder(context, damage):
    _damage(context.folder, damage)


@then("the start fails with storage_corrupt and names {name}")
def fails_as_corrupt(context, name):
    context.failure = _reopen(context.folder)
    assert is_failure(context.failure), context.failure
    assert context.failure.kind is ErrorKind.STORAGE_CORRUPT
    assert f"{name}: offset" in context.failure.reason, context.failure


@then("checking the folder reports the same error and changes nothing")
def check_reports(context):
    before = {p: p.read_bytes() for p in context.folder.iterdir()}
    report = ag.check_folder(context.folder)
    assert report.error == context.failure, report
    assert before == {p: p.read_bytes() for p in context.folder.iterdir()}


@when("the folder is lost")
def lose_folder(context):
    context.incarnation = _reopen(context.folder).incarnation
    shutil.rmtree(context.folder)


@then("a start recovers no data and has another incarnation")
def starts_empty(context):
    found = _reopen(context.folder)
    assert found.entries == () and found.hard_state == ag.HardState()
    assert found.incarnation not in ("", context.incarnation)


@when("another process has the folder open")
def other_process(context):
    code = (
        "import sys; from chivescale.agreement import DurableLog\n"
        "log = DurableLog(sys.argv[1]); log.open()\n"
        "print('open', flush=True)\n"
        "sys.stdin.read()\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code, str(context.folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout.readline() == b"open\n"
    context.add_cleanup(process.communicate)


@then("the start fails with storage_failed")
def fails_as_locked(context):
    found = _reopen(context.folder)
    assert is_failure(found) and found.kind is ErrorKind.STORAGE_FAILED, found


@when("the disk fails with {error} on {call} while a record is stored")
def disk_fails(context, error, call):
    def fail(*_):
        raise OSError(getattr(errno, error), error)

    context.log = log = ag.DurableLog(context.folder)
    assert not is_failure(log.open())
    setattr(log, call, fail)
    context.result = log.append(None, (_entry(7),)) or log.sync()
    setattr(log, call, getattr(os, call))


@then("storing this and every later record fails with storage_failed")
def fails_permanently(context):
    later = context.log.append(None, (_entry(7),)) or context.log.sync()
    context.log.close()
    for result in (context.result, later):
        assert result is not None
        assert result.kind is ErrorKind.STORAGE_FAILED, result


def _crash_after(log, calls: int) -> None:
    """Let every system call of a log after the first `calls` fail."""
    left = iter(range(calls))

    def limited(call):
        def run(*args):
            if next(left, None) is None:
                raise OSError(errno.EIO, "crash")
            return call(*args)

        return run

    log.write, log.fsync = limited(os.write), limited(os.fsync)


@then("a crash at any system call while a snapshot is stored loses no data")
def crash_in_snapshot(context):
    completed = False
    for calls in range(1, 30):
        log_with_snapshot(context)
        log = ag.DurableLog(context.folder)
        log.open()
        _crash_after(log, calls)
        snapshot = ag.Snapshot(7, 2, MEMBERS, b"later")
        hard_state = ag.HardState(2, "c1/j")
        failure = log.snapshot(snapshot, hard_state, (_entry(8, 2),))
        log.close()
        found = _reopen(context.folder)
        assert not is_failure(found), (calls, found)
        assert found.hard_state == hard_state
        assert found.snapshot in (context.snapshot, snapshot)
        first = found.snapshot.index + 1
        expected = tuple(_entry(i, 2) for i in range(first, 9))
        assert found.entries == expected, (calls, found.entries)
        completed = failure is None
    assert completed, "the crash points did not reach the end"


LEADER_SNAPSHOT = ag.Snapshot(7, 3, MEMBERS, b"leader's state")
# Entries 1 to 8 of the log, as terms, before the snapshot arrives.
TERMS = {
    "end long before": (1, 1),
    "conflict with": (1, 1, 1, 1, 1, 2, 2, 2),
    "include those of": (1, 1, 1, 1, 1, 3, 3, 3),
}


@given("a log whose entries {relation} a leader's snapshot")
def log_and_leader_snapshot(context, relation):
    context.terms = TERMS[relation]


def _new_log(context) -> ag.DurableLog:
    context.folder = _folder(context)
    log = ag.DurableLog(context.folder)
    assert not is_failure(log.open())
    entries = [_entry(i, t) for i, t in enumerate(context.terms, 1)]
    _store(log, *entries, state=ag.HardState(3, "c1/j"))
    return log


@then("a crash at any system call of storing it and of the next start")
def crash_storing_and_starting(context):
    """Leave one folder for each pair of crash points."""
    context.folders = []
    kept = tuple(
        _entry(i, t)
        for i, t in enumerate(context.terms, 1)
        if t == LEADER_SNAPSHOT.term and i > LEADER_SNAPSHOT.index
    )
    storing_completed = False
    for storing in range(30):
        starting_completed = False
        for starting in range(30):
            log = _new_log(context)
            _crash_after(log, storing)
            failure = log.snapshot(
                LEADER_SNAPSHOT, ag.HardState(3, "c1/j"), kept
            )
            log.close()
            again = ag.DurableLog(context.folder)
            _crash_after(again, starting)
            starting_completed = not is_failure(again.open())
            again.close()
            context.folders.append(context.folder)
            if starting_completed:
                break
        assert starting_completed, storing
        storing_completed = failure is None
        if storing_completed:
            break
    assert storing_completed


@then("entries stored after it are found at every later start")
def found_at_later_starts(context):
    for folder in context.folders:
        log = ag.DurableLog(folder)
        found = log.open()
        assert not is_failure(found), found
        assert found.hard_state == ag.HardState(3, "c1/j"), found
        base = found.snapshot.index if found.snapshot else 0
        expected = list(found.entries)
        if found.snapshot is not None:
            assert found.snapshot == LEADER_SNAPSHOT
        else:
            assert len(expected) == len(context.terms)
        for _ in range(3):
            new = _entry(base + len(expected) + 1, 3)
            expected.append(new)
            _store(log, new)
            log.close()
            found = log.open()
            assert not is_failure(found), (folder, found)
            assert list(found.entries) == expected, (folder, found.entries)
        later = ag.Snapshot(new.index, 3, MEMBERS, b"later")
        assert log.snapshot(later, found.hard_state, ()) is None
        _store(log, _entry(new.index + 1, 3))
        log.close()
        found = _reopen(folder)
        assert found.snapshot == later and len(found.entries) == 1, found


@given("a log that a crash has left beside a snapshot of a later term")
def log_of_earlier_term(context):
    context.folder = _folder(context)
    log = ag.DurableLog(context.folder)
    assert not is_failure(log.open())
    _store(log, _entry(1), _entry(2), state=ag.HardState(1, "c1/j"))
    # One write and one sync of the snapshot and one of the folder.
    _crash_after(log, 3)
    later = ag.HardState(LEADER_SNAPSHOT.term, "")
    assert log.snapshot(LEADER_SNAPSHOT, later, ()) is not None
    log.close()


@then("a start recovers the term of the snapshot and no vote")
def recovers_snapshot_term(context):
    for _ in range(2):
        found = _reopen(context.folder)
        assert found.snapshot == LEADER_SNAPSHOT, found
        assert found.hard_state == ag.HardState(LEADER_SNAPSHOT.term), found


@given("that snapshot, stored without replacing the log")
def stored_without_log(context):
    log = _new_log(context)
    _crash_after(log, 3)
    state = ag.HardState(3, "c1/j")
    assert log.snapshot(LEADER_SNAPSHOT, state, ()) is not None
    log.close()


@given("an entry appended after that snapshot")
def appended_after_snapshot(context):
    context.appended = _entry(LEADER_SNAPSHOT.index + 1, 3)
    with (context.folder / LOG).open("ab") as file:
        file.write(encode_record(Batch(None, (context.appended,))))


@then("a start recovers the snapshot and that entry")
def recovers_appended(context):
    found = _reopen(context.folder)
    assert not is_failure(found), found
    assert found.snapshot == LEADER_SNAPSHOT, found
    assert found.entries == (context.appended,), found.entries


@then("the log can be continued")
def can_be_continued(context):
    log = ag.DurableLog(context.folder)
    assert not is_failure(log.open())
    _store(log, _entry(LEADER_SNAPSHOT.index + 2, 3))
    log.close()
    assert len(_reopen(context.folder).entries) == 2
