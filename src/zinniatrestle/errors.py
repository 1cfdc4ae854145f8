"""Result codes and the exception tree that carries them."""

from enum import IntEnum


class ResultCode(IntEnum):
    """Numbered results, stable across releases."""

    OK = 0
    # 1xx: the call itself is wrong.
    BAD_INPUT = 100
    UNAUTHENTICATED = 101
    TOO_LARGE = 102
    NO_SUCH_THING = 103
    BAD_SETTING = 104
    BAD_TEMPLATE = 105
    NO_SUCH_JOB = 106
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


class ZinniatrestleError(Exception):
    """Base of all errors; `code` is the numbered result, `detail` the message."""

    code = ResultCode.BAD_INPUT

    def __init__(self, detail: str, code: ResultCode | None = None):
        super().__init__(detail)
        self.detail = detail
        if code is not None:
            self.code = code


class CallerError(ZinniatrestleError):
    """Signal that the call is wrong and changes nothing."""

    code = ResultCode.BAD_INPUT


class AuthenticationError(CallerError):
    """Signal a missing or wrong token."""

    code = ResultCode.UNAUTHENTICATED


class SettingsError(CallerError):
    """Signal a setting that a process can't start with."""

    code = ResultCode.BAD_SETTING


class TemplateError(CallerError):
    """Signal a template or parameter that can't be used."""

    code = ResultCode.BAD_TEMPLATE


class NotFoundError(CallerError):
    """Signal a name that nothing bears."""

    code = ResultCode.NO_SUCH_THING


class RequestError(ZinniatrestleError):
    """Base of the answers to a request that carry no result."""


class NotRunError(RequestError):
    """Signal that this request did not run and will not run later."""

    code = ResultCode.NOT_RUN


class UnknownOutcomeError(RequestError):
    """Signal that the truth can't be had yet; the request is never run again."""

    code = ResultCode.UNKNOWN


class KeyReusedError(RequestError):
    """Signal a request key that was used with another body."""

    code = ResultCode.KEY_REUSED


class ConfigurationError(ZinniatrestleError):
    """Base of refused changes of configuration."""


class ConflictError(ConfigurationError):
    """Signal that another operator's change came first."""

    code = ResultCode.CONFLICT


class GuaranteeError(ConfigurationError):
    """Signal a guaranteed shape that the workers can't hold."""

    code = ResultCode.GUARANTEE_NOT_HELD


class GangError(ZinniatrestleError):
    """Base of errors about jobs and their gangs."""


class WorkerError(GangError):
    """Signal a worker that refused or did not answer a command."""

    code = ResultCode.WORKER_UNREACHABLE


class NeverFitsError(GangError):
    """Signal a job that can't run on the permitted workers at all."""

    code = ResultCode.NEVER_FITS


class NotProvenError(ZinniatrestleError):
    """Signal that a client account can't be shown to be gone yet."""

    code = ResultCode.NOT_PROVEN


class PlatformError(ZinniatrestleError):
    """Base of errors of the platform's services."""


class StoreUnavailableError(PlatformError):
    """Signal that the store did not take the call."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUncertainError(PlatformError):
    """Signal a write whose answer was lost: it may have taken effect."""

    code = ResultCode.STORE_UNCERTAIN


class LeaseLostError(PlatformError):
    """Signal that a lease is no longer held."""

    code = ResultCode.LEASE_LOST


class HistoryLostError(PlatformError):
    """Signal that the store no longer knows what changed since a version."""

    code = ResultCode.HISTORY_LOST


class PeerError(ZinniatrestleError):
    """Signal a peer that can't be reached or is refused."""

    code = ResultCode.PEER_UNREACHABLE
