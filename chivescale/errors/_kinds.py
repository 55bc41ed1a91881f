"""Error kinds and the answer that each kind gives to a caller."""

import enum

import msgspec


class ErrorKind(enum.StrEnum):
    """Closed list of the reasons for which a request can fail."""

    AUTHENTICATION_FAILED = "authentication_failed"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    BAD_REQUEST = "bad_request"
    UNSUPPORTED = "unsupported"
    MESSAGE_TOO_LARGE = "message_too_large"
    CONNECTION_LIMIT = "connection_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    RATE_LIMIT = "rate_limit"
    OVERLOADED = "overloaded"
    DEADLINE_NOT_STARTED = "deadline_not_started"
    DEADLINE_READ = "deadline_read"
    SHUTTING_DOWN = "shutting_down"
    WORKSPACE_REMOVED = "workspace_removed"
    NO_PRIMARY = "no_primary"
    NO_QUORUM = "no_quorum"
    FRESHNESS_UNPROVED = "freshness_unproved"
    DID_NOT_RUN = "did_not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    READ_INTERRUPTED = "read_interrupted"
    TRANSACTION_ABORTED = "transaction_aborted"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    STATEMENT_FAILED = "statement_failed"
    NOT_LEADER = "not_leader"
    NOT_READY = "not_ready"
    STALE_SHEET = "stale_sheet"
    SHEET_CONFLICT = "sheet_conflict"
    SHEET_INVALID = "sheet_invalid"
    MESSAGE_INVALID = "message_invalid"
    SIGNATURE_INVALID = "signature_invalid"
    STALE_TERM = "stale_term"
    UNKNOWN_MEMBER = "unknown_member"
    STORAGE_FAILED = "storage_failed"
    STORAGE_CORRUPT = "storage_corrupt"
    SETTINGS_INVALID = "settings_invalid"
    ENDPOINT_READ_ONLY = "endpoint_read_only"
    ENDPOINT_BEHIND = "endpoint_behind"
    ENDPOINT_FULL = "endpoint_full"
    WRONG_ENDPOINT = "wrong_endpoint"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_STATEMENT = "unknown_statement"
    TRANSACTION_FAILED = "transaction_failed"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    CONNECTION_REFUSED = "connection_refused"
    INTERNAL = "internal"


class KindAnswer(msgspec.Struct, frozen=True):
    """What a caller is told for one error kind.

    Attributes
    ----------
    errno : int
        MySQL error number of the error packet.
    sqlstate : str
        Five characters of SQLSTATE.
    http_status : int
        Status code between the system's own processes.
    may_have_run : bool
        False only when the request provably took no effect.
    may_repeat : bool
        Whether sending the same request again is safe and may succeed.
    """

    errno: int
    sqlstate: str
    http_status: int
    may_have_run: bool
    may_repeat: bool


def _answer(errno, sqlstate, status, *, ran=False, repeat=False):
    return KindAnswer(errno, sqlstate, status, ran, repeat)


# MySQL error numbers are those of the server error reference where one fits;
# 1105 (unknown error) otherwise, since drivers do not retry on it.
KIND_TABLE: dict[ErrorKind, KindAnswer] = {
    ErrorKind.AUTHENTICATION_FAILED: _answer(1045, "28000", 401),
    ErrorKind.SERVICE_NOT_ALLOWED: _answer(1044, "42000", 403),
    ErrorKind.BAD_REQUEST: _answer(1231, "42000", 400),
    ErrorKind.UNSUPPORTED: _answer(1235, "42000", 400),
    ErrorKind.MESSAGE_TOO_LARGE: _answer(1153, "08S01", 413),
    ErrorKind.CONNECTION_LIMIT: _answer(1203, "42000", 429, repeat=True),
    ErrorKind.CONCURRENCY_LIMIT: _answer(1226, "42000", 429, repeat=True),
    ErrorKind.RATE_LIMIT: _answer(1226, "42000", 429, repeat=True),
    ErrorKind.OVERLOADED: _answer(1040, "08004", 503, repeat=True),
    ErrorKind.DEADLINE_NOT_STARTED: _answer(1205, "HY000", 504, repeat=True),
    ErrorKind.DEADLINE_READ: _answer(3024, "HY000", 504, repeat=True),
    ErrorKind.SHUTTING_DOWN: _answer(1053, "08S01", 503, repeat=True),
    ErrorKind.WORKSPACE_REMOVED: _answer(1045, "28000", 403),
    ErrorKind.NO_PRIMARY: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.NO_QUORUM: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.FRESHNESS_UNPROVED: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.DID_NOT_RUN: _answer(1213, "40001", 503, repeat=True),
    ErrorKind.OUTCOME_UNKNOWN: _answer(1105, "08007", 504, ran=True),
    ErrorKind.READ_INTERRUPTED: _answer(2013, "08S01", 502, repeat=True),
    ErrorKind.TRANSACTION_ABORTED: _answer(1213, "40001", 503, repeat=True),
    ErrorKind.KEY_REUSED: _answer(1062, "23000", 409),
    ErrorKind.KEY_IN_PROGRESS: _answer(1205, "HY000", 409, repeat=True),
    ErrorKind.STATEMENT_FAILED: _answer(1105, "HY000", 502),
    ErrorKind.NOT_LEADER: _answer(1290, "HY000", 421, repeat=True),
    ErrorKind.NOT_READY: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.STALE_SHEET: _answer(1105, "HY000", 409),
    ErrorKind.SHEET_CONFLICT: _answer(1105, "HY000", 409),
    ErrorKind.SHEET_INVALID: _answer(1105, "HY000", 422),
    ErrorKind.MESSAGE_INVALID: _answer(1047, "08S01", 400),
    ErrorKind.SIGNATURE_INVALID: _answer(1045, "28000", 401),
    ErrorKind.STALE_TERM: _answer(1290, "HY000", 409),
    ErrorKind.UNKNOWN_MEMBER: _answer(1105, "HY000", 403),
    ErrorKind.STORAGE_FAILED: _answer(1105, "HY000", 500, ran=True),
    ErrorKind.STORAGE_CORRUPT: _answer(1105, "HY000", 500, ran=True),
    ErrorKind.SETTINGS_INVALID: _answer(1105, "HY000", 500),
    ErrorKind.ENDPOINT_READ_ONLY: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.ENDPOINT_BEHIND: _answer(1290, "HY000", 503, repeat=True),
    ErrorKind.ENDPOINT_FULL: _answer(1040, "08004", 503, repeat=True),
    ErrorKind.WRONG_ENDPOINT: _answer(1049, "42000", 503, repeat=True),
    ErrorKind.UNKNOWN_DATABASE: _answer(1049, "42000", 404),
    ErrorKind.UNKNOWN_STATEMENT: _answer(1243, "HY000", 400),
    ErrorKind.TRANSACTION_FAILED: _answer(1105, "25P02", 400),
    ErrorKind.TIMEOUT: _answer(1105, "08S01", 504, ran=True),
    ErrorKind.UNREACHABLE: _answer(2003, "08001", 503, repeat=True),
    ErrorKind.CONNECTION_REFUSED: _answer(2003, "08001", 503, repeat=True),
    ErrorKind.INTERNAL: _answer(1105, "HY000", 500, ran=True),
}
