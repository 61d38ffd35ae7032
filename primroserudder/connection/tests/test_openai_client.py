"""Tests of the unmodified OpenAI client against the callers' port."""

from http import HTTPStatus

import openai
import pytest
from aiohttp import web
from openai.types.chat import ChatCompletionMessageParam

from ...errors import Ran, RudderError
from ...process.engines import UpstreamLost
from ...request.problem import problem_body, problem_headers
from ...testing import builders
from ...testing.loopbackentry import LoopbackEntry

PROMPT = 'How did batch 41 burn?'
MESSAGES: list[ChatCompletionMessageParam] = [
    {'role': 'user', 'content': PROMPT}
]
TOKENS = 12


def _client(
    entry: LoopbackEntry, key: str = builders.KEY
) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(api_key=key, base_url=f'{entry.url}/v1')


async def test_client_lists_models_and_completes_streamed_and_whole() -> None:
    async with LoopbackEntry() as entry, _client(entry) as client:
        models = [model.id async for model in client.models.list()]
        assert models == [builders.SERVICE]
        whole = await client.completions.create(
            model=builders.SERVICE,
            prompt=PROMPT,
            max_tokens=TOKENS,
            seed=1,
        )
        stream = await client.completions.create(
            model=builders.SERVICE,
            prompt=PROMPT,
            max_tokens=TOKENS,
            seed=1,
            stream=True,
        )
        texts = [part.choices[0].text async for part in stream]
        assert len(texts) == TOKENS
        assert ''.join(texts) == whole.choices[0].text
        assert whole.usage is not None
        assert whole.usage.completion_tokens == TOKENS


async def test_client_chats_streamed_and_whole() -> None:
    async with LoopbackEntry() as entry, _client(entry) as client:
        whole = await client.chat.completions.create(
            model=builders.SERVICE,
            messages=MESSAGES,
            max_tokens=TOKENS,
            seed=1,
        )
        stream = await client.chat.completions.create(
            model=builders.SERVICE,
            messages=MESSAGES,
            max_tokens=TOKENS,
            seed=1,
            stream=True,
        )
        parts = [part.choices[0].delta.content async for part in stream]
        assert ''.join(filter(None, parts)) == whole.choices[0].message.content


@pytest.mark.parametrize(
    ('key', 'changes', 'kind', 'code'),
    [
        ('wrong.key', {}, openai.AuthenticationError, 'invalid_api_key'),
        ('', {'model': 'none'}, openai.NotFoundError, 'model_not_found'),
        ('', {'max_tokens': -1}, openai.BadRequestError, 'bad_request'),
    ],
)
async def test_client_raises_its_usual_errors(
    key: str,
    changes: dict[str, object],
    kind: type[openai.APIStatusError],
    code: str,
) -> None:
    async with (
        LoopbackEntry() as entry,
        _client(entry, key or builders.KEY) as client,
    ):
        payload = {'model': builders.SERVICE, 'prompt': PROMPT, **changes}
        with pytest.raises(kind) as refused:
            await client.post('/completions', body=payload, cast_to=object)
        assert refused.value.code == code
        assert refused.value.response.headers['Rudder-Ran'] == 'no'


async def test_client_raises_an_error_in_mid_stream() -> None:
    async with LoopbackEntry() as entry, _client(entry) as client:
        stream = await client.completions.create(
            model=builders.SERVICE,
            prompt=PROMPT,
            max_tokens=TOKENS,
            stream=True,
            extra_headers={'Rudder-Idempotent': 'false'},
        )
        with pytest.raises(openai.APIError) as lost:
            async for _ in stream:
                for group in entry.bench.running():
                    entry.bench.crash(group)
        assert lost.value.code == 'upstream_lost'


class Refused(RudderError):
    """An error whose status the test sets."""


@pytest.mark.parametrize(
    ('error', 'status', 'kind', 'calls'),
    [
        (Refused('x'), HTTPStatus.TOO_MANY_REQUESTS, openai.RateLimitError, 2),
        (
            Refused('x'),
            HTTPStatus.UNPROCESSABLE_ENTITY,
            openai.UnprocessableEntityError,
            1,
        ),
        (UpstreamLost('x'), HTTPStatus.BAD_GATEWAY, openai.APIStatusError, 1),
    ],
)
async def test_client_retries_only_requests_that_did_not_run(
    error: RudderError,
    status: HTTPStatus,
    kind: type[openai.APIStatusError],
    calls: int,
) -> None:
    error.status = status  # type: ignore[misc]
    error.ran = Ran.UNKNOWN if isinstance(error, UpstreamLost) else Ran.NO
    paths: list[str] = []

    async def _refuse(request: web.Request) -> web.Response:
        paths.append(request.path)
        return web.Response(
            status=error.status,
            body=problem_body(error, 'req-1'),
            headers=problem_headers(error, 'req-1'),
        )

    async with LoopbackEntry() as entry:
        app = web.Application()
        app.router.add_post('/v1/completions', _refuse)
        address = await entry.listen(app)
        client = openai.AsyncOpenAI(
            api_key=builders.KEY,
            base_url=f'http://{address}/v1',
            max_retries=1,
        )
        async with client:
            with pytest.raises(kind):
                await client.completions.create(model='m', prompt=PROMPT)
    assert len(paths) == calls
