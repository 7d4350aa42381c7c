"""A complete answer is not lost if the larger model's answer turns out to be unavailable.

Callers got 502 when a small model's complete answer was dropped for its low confidence and every
endpoint then refused the call of the larger model: the answer is dropped before the larger model's
answer has started.
"""

import pytest

from umberhitch.fakes import Reply
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import DirectWorld

REFUSED = Reply(status=503, delay_s=0.002, is_signed=False, not_run=True)
UNSURE = Reply(events=4, confidence=1)


@pytest.mark.parametrize("refusals", [1, 3])
def test_a_whole_answer_is_delivered_where_all_refuse_the_larger_models(refusals: int):
    world = DirectWorld()
    endpoints = [world.add_endpoint(f"e{number}") for number in range(refusals)]
    routes = (zones.make_route("draft", zones.RouteKind.STREAM, models=zones.MODELS),)
    router = world.ready_router(zones.make_direct_document(routes=routes))
    world.run(1.2)
    answered = [False]

    def refuse_all_but_the_first() -> None:
        if not answered[0] and any(each.calls for each in endpoints):
            answered[0] = True
            for each in endpoints:
                each.reply = REFUSED
        world.clock.callLater(0.001, refuse_all_but_the_first)

    for each in endpoints:
        each.reply = UNSURE
    refuse_all_but_the_first()
    req = world.ask(router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1")
    world.run(2.0)
    assert sum(len(each.calls) for each in endpoints) > 1  # the larger model was called
    assert req.status == 200
    assert req.reply.is_complete
