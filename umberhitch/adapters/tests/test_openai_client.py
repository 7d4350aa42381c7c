"""An ordinary client library for model services runs against the callers' interface unchanged."""

import openai
import pytest

from umberhitch.conftest import Served


@pytest.fixture
def client(served: Served) -> openai.OpenAI:
    return openai.OpenAI(base_url=f"http://{served.callers}/v1", api_key="key-acme", max_retries=0)


MESSAGES = [{"role": "user", "content": "what is a lease?"}]


def test_models_are_listed(client: openai.OpenAI) -> None:
    assert [model.id for model in client.models.list()] == ["m", "m@1"]


def test_a_whole_answer(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(model="m", messages=MESSAGES, max_tokens=5)
    assert answer.choices[0].message.content.startswith("m@1/")
    assert answer.usage.completion_tokens == 5
    assert answer.choices[0].finish_reason == "stop"


def test_a_streamed_answer(client: openai.OpenAI) -> None:
    whole = client.chat.completions.create(model="auto", messages=MESSAGES, max_tokens=5)
    stream = client.chat.completions.create(
        model="auto",
        messages=MESSAGES,
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
    )
    events = list(stream)
    text = "".join(event.choices[0].delta.content or "" for event in events if event.choices)
    assert text == whole.choices[0].message.content
    assert events[-1].usage.completion_tokens == 5


def test_errors_are_the_clients_own(client: openai.OpenAI, served: Served) -> None:
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="nope", messages=MESSAGES)
    assert caught.value.body["code"] == "unknown_model"
    with pytest.raises(openai.BadRequestError):
        client.chat.completions.create(model="m", messages=[])
    stranger = openai.OpenAI(base_url=f"http://{served.callers}/v1", api_key="wrong", max_retries=0)
    with pytest.raises(openai.AuthenticationError):
        stranger.models.list()
