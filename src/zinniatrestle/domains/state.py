"""Whether work may start in a failure domain."""

from zinniatrestle.clock import Clock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import DomainState
from zinniatrestle.domains.messages import PermitRefusal, StartPermit
from zinniatrestle.errors import GangError, ResultCode
from zinniatrestle.ids import Epoch, FailureDomainId

# A confirmation older than this starts nothing. It is the bound on starts after
# a failure domain is taken out, together with the skew between clocks.
PERMIT_SECONDS = 3.0
READMISSION_RAMP_SECONDS = 20.0
INITIAL_ADMITTED_SHARE = 0.25


class PermitIssuer:
    """Give start permits out of the newest confirmed configuration."""

    def __init__(self, follower: ConfigurationFollower, clock: Clock):
        self.follower = follower
        self.clock = clock

    def refusal(self, domain: FailureDomainId) -> PermitRefusal | None:
        """Return why nothing may start in a failure domain now, or None."""
        if self.follower.state.domain_state(domain) is DomainState.OUT:
            return PermitRefusal.DOMAIN_OUT
        age = self.clock.wall() - self.follower.confirmed_wall
        if age > PERMIT_SECONDS:
            return PermitRefusal.NOT_CONFIRMED
        return None

    def permit(self, domain: FailureDomainId, epoch: Epoch) -> StartPermit:
        """Return a start permit; raises GangError with DOMAIN_OUT."""
        refusal = self.refusal(domain)
        if refusal is not None:
            raise GangError(
                f"Nothing starts in {domain}: {refusal.value}.", ResultCode.DOMAIN_OUT
            )
        return StartPermit(
            domain,
            epoch,
            self.follower.state.revision,
            self.follower.confirmed_wall + PERMIT_SECONDS,
        )

    def admitted_share(self, domain: FailureDomainId) -> float:
        """Return the share of capacity open to new gangs after a return (0 to 1)."""
        record = self.follower.state.domains.get(domain)
        if record is None:
            return 1.0
        if record.state is DomainState.OUT:
            return 0.0
        elapsed = self.clock.wall() - record.wall
        ramped_up = (1 - INITIAL_ADMITTED_SHARE) * elapsed / READMISSION_RAMP_SECONDS
        return min(1.0, INITIAL_ADMITTED_SHARE + ramped_up)
