"""Tests of the index of instances by address."""

import msgspec

from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance

OLD, NEW = "10.0.0.1:80", "10.0.0.2:80"


def registered(fleet, name, address):
    instance = FleetInstance(
        id=InstanceId(name),
        service="book",
        address=address,
        failure_domain="a",
        slots=1,
    )
    fleet.register(instance, now_s=0.0)
    return instance


def test_an_address_that_is_used_again_belongs_to_the_later_instance():
    fleet = Fleet()
    registered(fleet, "i-1", OLD)
    later = registered(fleet, "i-2", OLD)
    assert fleet.at(OLD) == later
    fleet.deregister(InstanceId("i-1"), now_s=10.0)
    assert fleet.at(OLD) == later
    fleet.deregister(InstanceId("i-2"), now_s=10.0)
    assert fleet.at(OLD) is None


def test_an_instance_is_found_at_its_present_address_only():
    fleet = Fleet()
    moved = msgspec.structs.replace(registered(fleet, "i-1", OLD), address=NEW)
    fleet.register(moved, now_s=1.0)
    assert fleet.at(OLD) is None and fleet.at(NEW) == moved
