"""Result codes and the exception hierarchy that carries them."""

from enum import IntEnum


class ResultCode(IntEnum):
    """Numeric result codes, stable across releases."""

    OK = 0
    # 1xx: the call is invalid.
    BAD_INPUT = 100
    UNAUTHENTICATED = 101
    TOO_LARGE = 102
    NO_SUCH_THING = 103
    BAD_SETTING = 104
    BAD_TEMPLATE = 105
    NO_SUCH_JOB = 106
    REQUEST_TIMEOUT = 107
    # 2xx: requests.
    NOT_RUN = 200
    UNKNOWN = 201
    KEY_REUSED = 202
    KEY_REQUIRED = 203
    QUEUE_FULL = 204
    DEADLINE_PASSED = 205
    NO_UPSTREAM = 206
    KIND_NOT_PERMITTED = 207
    ACCOUNT_RETIRED = 208
    ACCOUNT_UNCONFIRMED = 209
    CLAIMS_UNAVAILABLE = 210
    UPSTREAM_FAILED = 211
    STOPPING = 212
    OUTCOMES_FULL = 213
    JOB_WITHDRAWN = 214
    TOO_MANY_CANCELLATIONS = 215
    BACKLOG_FULL = 216
    # 3xx: configuration.
    CONFLICT = 300
    GUARANTEE_NOT_HELD = 301
    NO_CONFIGURATION = 302
    CHANGE_UNKNOWN = 303
    IN_USE = 304
    # 4xx: gangs.
    NEVER_FITS = 400
    JOB_ENDED = 401
    DOMAIN_OUT = 402
    STALE_EPOCH = 403
    START_TOO_LATE = 404
    WORKER_BUSY = 405
    WORKER_UNREACHABLE = 406
    # 5xx: retirement.
    NOT_PROVEN = 500
    NOT_RETIRED = 501
    # 6xx: platform and peers.
    STORE_UNAVAILABLE = 600
    STORE_UNCERTAIN = 601
    LEASE_LOST = 602
    PEER_REFUSED = 603
    PEER_UNREACHABLE = 604
    HISTORY_LOST = 605
    DAMAGED_ROW = 606


class ZinniatrestleError(Exception):
    """Base of all errors; `code` is the result code, `detail` the message."""

    code = ResultCode.BAD_INPUT

    def __init__(self, detail: str, code: ResultCode | None = None):
        super().__init__(detail)
        self.detail = detail
        if code is not None:
            self.code = code


class CallerError(ZinniatrestleError):
    """Signal an invalid call, which has changed nothing."""

    code = ResultCode.BAD_INPUT


class MalformedInputError(CallerError):
    """Signal input of others that can't be decoded or has values out of bounds."""


class AuthenticationError(CallerError):
    """Signal a missing or invalid token."""

    code = ResultCode.UNAUTHENTICATED


class SettingsError(CallerError):
    """Signal an invalid setting, with which a process can't start."""

    code = ResultCode.BAD_SETTING


class TemplateError(CallerError):
    """Signal an invalid template or template parameter."""

    code = ResultCode.BAD_TEMPLATE


class NotFoundError(CallerError):
    """Signal that no object has the given name or id."""

    code = ResultCode.NO_SUCH_THING


class RequestError(ZinniatrestleError):
    """Base of the errors with which a request is answered."""


class NotRunError(RequestError):
    """Signal that the request did not run and will not run later."""

    code = ResultCode.NOT_RUN


class UnknownOutcomeError(RequestError):
    """Signal that it is not known whether the request ran; it never runs again."""

    code = ResultCode.UNKNOWN


class KeyReusedError(RequestError):
    """Signal an idempotency key that was already used with another body."""

    code = ResultCode.KEY_REUSED


class ConfigurationError(ZinniatrestleError):
    """Base of the errors that refuse a configuration change."""


class ConflictError(ConfigurationError):
    """Signal a change that conflicts with one committed before it."""

    code = ResultCode.CONFLICT


class GuaranteeError(ConfigurationError):
    """Signal a guarantee that the workers don't have the capacity for."""

    code = ResultCode.GUARANTEE_NOT_HELD


class GangError(ZinniatrestleError):
    """Base of errors about jobs and their gangs."""


class WorkerError(GangError):
    """Signal that a worker refused a command or did not answer it."""

    code = ResultCode.WORKER_UNREACHABLE


class NeverFitsError(GangError):
    """Signal a job that does not fit on its permitted workers even if all are free."""

    code = ResultCode.NEVER_FITS


class NotProvenError(ZinniatrestleError):
    """Signal that the retirement of a client account can't be certified yet."""

    code = ResultCode.NOT_PROVEN


class PlatformError(ZinniatrestleError):
    """Base of the errors of platform services."""


class StoreUnavailableError(PlatformError):
    """Signal that the store did not accept the call."""

    code = ResultCode.STORE_UNAVAILABLE


class DamagedRowError(StoreUnavailableError):
    """Signal a row of the store with damaged content, which is not changed."""

    code = ResultCode.DAMAGED_ROW


class StoreUncertainError(PlatformError):
    """Signal a write whose answer was lost, so that it may have taken effect."""

    code = ResultCode.STORE_UNCERTAIN


class LeaseLostError(PlatformError):
    """Signal that a lease is no longer held."""

    code = ResultCode.LEASE_LOST


class HistoryLostError(PlatformError):
    """Signal that the store no longer has the changes since a given version."""

    code = ResultCode.HISTORY_LOST


class PeerError(ZinniatrestleError):
    """Signal that a peer is unreachable, was refused or refused a call."""

    code = ResultCode.PEER_UNREACHABLE
