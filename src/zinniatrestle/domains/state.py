"""Decide whether tasks may start in a failure domain."""

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.domains.messages import PermitRefusal, StartPermit
from zinniatrestle.errors import GangError, ResultCode
from zinniatrestle.ids import Epoch, FailureDomainId

# No task starts on a configuration confirmed longer ago than this. Together with
# the clock skew it bounds how late a task may still start in a failure domain that
# was taken out of service.
PERMIT_SECONDS = 3.0
# A failure domain that comes back admits INITIAL_ADMITTED_SHARE of its capacity at
# once; the share rises linearly to 1 over READMISSION_RAMP_SECONDS.
READMISSION_RAMP_SECONDS = 20.0
INITIAL_ADMITTED_SHARE = 0.25


class PermitIssuer:
    """Issue start permits based on the confirmed configuration."""

    def __init__(self, follower: ConfigurationFollower, clock: Clock):
        self.follower = follower
        self.clock = clock

    def refusal(self, domain: FailureDomainId) -> PermitRefusal | None:
        """Return why no task may start in a failure domain now, or None."""
        if self.follower.state.domain_state(domain) is DomainState.OUT:
            return PermitRefusal.DOMAIN_OUT
        age = self.clock.wall() - self.follower.confirmed_wall
        if age > PERMIT_SECONDS:
            return PermitRefusal.NOT_CONFIRMED
        return None

    def permit(self, domain: FailureDomainId, epoch: Epoch) -> StartPermit:
        """Return a start permit; raises GangError with DOMAIN_OUT if it is refused."""
        refusal = self.refusal(domain)
        if refusal is not None:
            raise GangError(
                f"No task may start in {domain}: {refusal.value}.",
                ResultCode.DOMAIN_OUT,
            )
        return StartPermit(
            domain,
            epoch,
            self.follower.state.revision,
            self.follower.confirmed_wall + PERMIT_SECONDS,
        )

    def admitted_share(self, domain: FailureDomainId) -> float:
        """Return the share of a domain's capacity open to new gangs (0 to 1)."""
        record = self.follower.state.domains.get(domain)
        if record is None:
            return 1.0
        if record.state is DomainState.OUT:
            return 0.0
        elapsed = self.clock.wall() - record.wall
        ramped_up = (1 - INITIAL_ADMITTED_SHARE) * elapsed / READMISSION_RAMP_SECONDS
        return min(1.0, INITIAL_ADMITTED_SHARE + ramped_up)
