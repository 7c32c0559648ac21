import pytest

from foxtailbank import membership_actions as actions
from membership_net import Net, fleet


@pytest.mark.parametrize("zones,per_zone,loss", [(3, 1, 0.0), (3, 4, 0.2), (5, 3, 0.1)])
def test_views_converge(zones, per_zone, loss):
    net = Net(fleet(zones, per_zone), loss=loss)
    assert net.run(90_000, until=net.agreed)


def test_death_is_detected_and_told_to_all():
    net = Net(fleet(3, 4))
    assert net.run(60_000, until=net.agreed)
    net.stop("vm-1-0")
    net.events.clear()
    assert net.run(20_000, until=net.agreed)
    dead = [vm for _, vm, one in net.events if isinstance(one, actions.MemberDead)]
    assert sorted(dead) == sorted(net.state_by_vm_id)
