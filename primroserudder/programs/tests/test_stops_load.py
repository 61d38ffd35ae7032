"""Test that stops under load over real sockets interrupt no request."""

from ...testing.stopsbench import measure


async def test_stops_under_load_interrupt_no_request() -> None:
    report = await measure(stops=3, seed=1)
    assert report.outcomes.keys() == {'whole'}
    assert (report.stops, report.cut) == (3, 0)
