"""Numbered result codes; ``docs/result-codes.md`` lists the same table."""

from enum import IntEnum

__all__ = ["ResultCode", "is_refusal"]


class ResultCode(IntEnum):
    """Outcome of a request, or a problem of a sheet, a peer message or a setting.

    Codes 100 to 199 mean "refused, not run"; 200 to 299 mean "unknown, may have run"; 300 to 399
    are problems of a published sheet; 400 to 499 concern peers; 500 to 599 concern settings.
    """

    OK = 0
    UNKNOWN_ADDRESS = 100
    MALFORMED_PACKET = 101
    OVERSIZED_PACKET = 102
    NO_ACTIVE_TARGET = 103
    QUEUE_FULL = 104
    DEADLINE_PASSED = 105
    DEADLINE_TOO_CLOSE = 106
    NO_PATH = 107
    SHUTTING_DOWN = 108
    UNKNOWN_FLOW = 109
    CONNECTION_LIMIT = 110
    CANCELLED = 111
    TARGETS_SHED = 112
    FLOW_TABLE_FULL = 113
    NO_CONFIGURATION = 114
    TARGET_LOST_BEFORE_SEND = 115
    TOO_MANY_PENDING = 116
    OWNER_LOST = 200
    TARGET_LOST = 201
    NO_PROOF = 202
    NO_ANSWER = 203
    CANCELLED_RUNNING = 204
    ANSWER_NOT_KEPT = 205
    ANSWER_CUT = 206
    SHEET_NOT_JSON = 300
    SHEET_TOO_LARGE = 301
    SHEET_SCHEMA = 302
    DUPLICATE_SERVICE = 303
    DUPLICATE_ADDRESS = 304
    ADDRESS_REBOUND = 305
    DUPLICATE_TARGET = 306
    UNKNOWN_ZONE = 307
    SERVICE_WITHOUT_TARGETS = 308
    BAD_ADDRESS = 309
    NOT_A_PEER = 400
    BAD_FRAME = 401
    NOT_OWNER = 402
    SERVICE_MISMATCH = 403
    BAD_SETTING = 500
    UNKNOWN_SETTING = 501
    MISSING_SETTING = 502


def is_refusal(code: int) -> bool:
    """Return whether `code` states that a request was not run."""
    return 100 <= code < 200
