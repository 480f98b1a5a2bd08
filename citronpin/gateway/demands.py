"""A request to place, as the parts of placement see it."""

import logging
from collections.abc import Collection

import msgspec

from citronpin.basics.ids import InstanceId
from citronpin.gateway.overloads import Pending
from citronpin.gateway.request_costs import RequestCost
from citronpin.gateway.routings import EngineSpec

logger = logging.getLogger(__name__)


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """A request to place, and the instances that must not get it."""

    pending: Pending
    engine: EngineSpec | None = None
    excluded: Collection[InstanceId] = ()
    accepts_limited: bool = True  # false once permits were refused
    cost: RequestCost | None = None  # expected work, where it is estimated
    written_tokens: int = 0  # of the answer, which the instance reads with the prompt
