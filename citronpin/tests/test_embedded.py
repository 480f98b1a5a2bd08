"""Tests of requests through a whole system on loopback."""

import openai
import pytest

from citronpin.benches.loads import LoadPlan
from citronpin.commands.commands_entries import run_load
from citronpin.demos.embedded import EmbeddedSystem, EngineSpec, wait_for
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_texts import answer_to
from citronpin.state.manifest_files import read_manifests
from citronpin.state.states import GroupState
from citronpin.tests.conftest import SAMPLES
from citronpin.web.fetches import Fetch, fetch_all

API_KEY = "odori-demo-key"
MESSAGES = [{"role": "user", "content": "Draft the rota for Sunday."}]
BOOT_TIMEOUT_S = 30.0


@pytest.fixture(scope="module")
def system():
    engines = tuple(
        EngineSpec(id=f"s{n}", domain="fabric-1", failure_domain="sapporo")
        for n in range(5)
    )
    system = EmbeddedSystem(
        failure_domains=("sapporo", "hakodate"),
        engines=engines,
        speed=EngineSpeed(tokens_per_s=500.0),
    )
    system.start()
    try:
        published = system.publish(read_manifests(SAMPLES / "kanekura.toml").ok_value)
        assert published.accepted
        assert wait_for(lambda: _min_serving_groups(system) == 2, BOOT_TIMEOUT_S)
        yield system
    finally:
        system.stop()


def _min_serving_groups(system) -> int:
    """Return the lowest number of serving groups over the entries."""
    return min(
        sum(group.state is GroupState.SERVING for group in entry.directory.groups())
        for entry in system.entries.values()
    )


@pytest.fixture
def client(system):
    address = system.addresses()[0]
    return openai.OpenAI(
        base_url=f"http://{address}/v1", api_key=API_KEY, max_retries=0, timeout=20
    )


def test_an_unstreamed_answer_is_the_text_of_the_engine(client):
    answer = client.chat.completions.create(model="rota", messages=MESSAGES)
    expected = answer_to({"messages": MESSAGES})
    assert answer.choices[0].message.content == expected.text
    assert answer.usage.completion_tokens == len(expected.pieces)


def test_a_streamed_answer_is_the_text_of_the_engine(client):
    stream = client.chat.completions.create(
        model="rota:hokkaido",
        messages=MESSAGES,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert text == answer_to({"messages": MESSAGES}).text
    assert chunks[-1].usage.completion_tokens > 0


def test_the_model_list_contains_only_models_permitted_to_the_customer(client):
    assert [model.id for model in client.models.list()] == ["rota", "rota:hokkaido"]


@pytest.mark.parametrize(
    "model, key, status, kind",
    [
        ("rota", "wrong-key", 401, "not-identified"),
        ("other", API_KEY, 404, "unknown-model"),
        ("rota:other", API_KEY, 404, "unknown-model"),
    ],
)
def test_refusals_are_problem_details_with_the_outcome_not_run(
    system, model, key, status, kind
):
    client = openai.OpenAI(
        base_url=f"http://{system.addresses()[0]}/v1", api_key=key, max_retries=0
    )
    with pytest.raises(openai.APIStatusError) as caught:
        client.chat.completions.create(model=model, messages=MESSAGES)
    problem = caught.value.response.json()
    assert caught.value.status_code == status
    assert (problem["kind"], problem["outcome"]) == (kind, "not-run")
    assert caught.value.response.headers["citronpin-request-id"]


def test_every_request_of_a_load_is_completed(system):
    plan = LoadPlan(
        entries=system.addresses(),
        key=API_KEY,
        model="rota",
        duration_s=2.0,
        chats_per_s=20.0,
        streamed_share=0.7,
        max_tokens=24,
        seed=3,
    )
    summary = run_load(plan, (), [], check_text=True)
    assert summary["violations"] == []
    assert summary["outcomes"] == {"complete": summary["sent"]}


def test_the_stream_of_a_disconnected_caller_is_cancelled(system, client):
    stream = client.chat.completions.create(
        model="rota", messages=MESSAGES, stream=True, max_tokens=5_000
    )
    next(iter(stream))
    engines = system.engines.values()
    assert wait_for(lambda: any(engine.active_stream_count for engine in engines), 5.0)
    stream.response.close()
    assert wait_for(
        lambda: not any(engine.active_stream_count for engine in engines), 5.0
    )


def test_the_admin_views_and_metrics_are_served(system):
    address = system.addresses()[0]
    views = fetch_all([Fetch(address, "/admin")])[0].json()
    for result in fetch_all([Fetch(address, f"/admin/{view}") for view in views]):
        assert result.status == 200, result.fetch.target
        # Guards against values that are shown as the text of a Python object.
        assert b'"<' not in result.body, result.fetch.target
    limits = fetch_all([Fetch(address, "/admin/limits")])[0].json()
    assert limits["open_calls"] == 0
    text = fetch_all([Fetch(address, "/metrics")])[0].body.decode()
    assert 'citronpin_first_token_seconds{customer="odori-tower"' in text
    assert 'outcome="complete"' in text
