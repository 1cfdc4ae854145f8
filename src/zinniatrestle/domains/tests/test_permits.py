"""Tests of start permits and of the readmission of a failure domain."""

import pytest
from common.virtual import run

from zinniatrestle.clock import LoopClock
from zinniatrestle.configuration import ConfigurationFollower
from zinniatrestle.configuration.messages import (
    ChangeRecord,
    DomainState,
    SetDomain,
)
from zinniatrestle.domains import PermitIssuer, PermitRefusal
from zinniatrestle.domains.state import PERMIT_SECONDS, READMISSION_RAMP_SECONDS
from zinniatrestle.errors import GangError, ResultCode
from zinniatrestle.ids import Epoch, FailureDomainId
from zinniatrestle.store.embedded import EmbeddedTable

LIMA = FailureDomainId("lima")


def new_permit_issuer() -> PermitIssuer:
    clock = LoopClock()
    follower = ConfigurationFollower(EmbeddedTable(), clock)
    follower.confirmed_wall = clock.wall()
    return PermitIssuer(follower, clock)


def set_domain(permit_issuer: PermitIssuer, state: DomainState):
    revision = permit_issuer.follower.state.revision + 1
    wall = permit_issuer.clock.wall()
    change = SetDomain(LIMA, state)
    permit_issuer.follower.state.apply(ChangeRecord(revision, "token", wall, change))


def test_permit_expires_with_the_confirmation():
    async def scenario():
        permit_issuer = new_permit_issuer()
        permit = permit_issuer.permit(LIMA, Epoch(1))
        assert permit.start_by == permit_issuer.clock.wall() + PERMIT_SECONDS
        permit_issuer.clock.offset += PERMIT_SECONDS + 0.1
        assert permit_issuer.refusal(LIMA) is PermitRefusal.NOT_CONFIRMED
        with pytest.raises(GangError) as caught:
            permit_issuer.permit(LIMA, Epoch(1))
        assert caught.value.code is ResultCode.DOMAIN_OUT

    run(scenario())


def test_no_permit_for_a_domain_taken_out():
    async def scenario():
        permit_issuer = new_permit_issuer()
        set_domain(permit_issuer, DomainState.OUT)
        assert permit_issuer.refusal(LIMA) is PermitRefusal.DOMAIN_OUT
        assert permit_issuer.admitted_share(LIMA) == 0.0

    run(scenario())


def test_admitted_share_rises_after_readmission():
    async def scenario():
        permit_issuer = new_permit_issuer()
        set_domain(permit_issuer, DomainState.OUT)
        set_domain(permit_issuer, DomainState.IN)
        shares = []
        for _ in range(5):
            shares.append(permit_issuer.admitted_share(LIMA))
            permit_issuer.clock.offset += READMISSION_RAMP_SECONDS / 4
        assert shares == sorted(shares)
        assert shares[0] == 0.25 and shares[-1] == 1.0

    run(scenario())
