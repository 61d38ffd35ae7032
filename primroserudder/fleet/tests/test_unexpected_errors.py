"""An error that no code expects ends one request, visibly, and no more."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import pytest
from loguru import logger

from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import raw_caller
from ..attempt import Attempt
from ..requestendings import RequestEnding
from ..servedrequest import CallerStream
from ..serving import Server

PLAIN = '/refunds/1'
ErrorType = type[BaseException]


async def _wait_until_serving(site: PlatformSite) -> None:
    directory = site.routers[0].view.directory
    await site.until(lambda: len(directory.targets_by_pool()) == 2)


def _failing(error: BaseException) -> Callable[..., Awaitable[None]]:
    async def fail(*_arguments: object) -> None:
        raise error

    return fail


def _lines_of(site: PlatformSite, lines: list[Mapping[str, object]]) -> None:
    def keep(message: str) -> None:
        extra = getattr(message, 'record')['extra']
        lines.append(extra.get('line', {}))

    logger.add(keep)


@pytest.mark.parametrize(
    'error', [KeyError('secret'), TimeoutError(), asyncio.CancelledError()]
)
async def test_error_before_the_answer_is_one_typed_answer_and_one_line(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    error: BaseException,
) -> None:
    lines: list[Mapping[str, object]] = []
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        _lines_of(site, lines)
        async with raw_caller(site) as caller:
            with monkeypatch.context() as patched:
                patched.setattr(Server, '_serve', _failing(error))
                caller.request('one', PLAIN)
                async with asyncio.timeout(5):
                    response = await caller.response()
            assert response.status in {500, 503}
            assert b'"code":"' in response.body
            assert b'Attempt-Id: one' in response.head
            assert b'secret' not in response.body
        async with raw_caller(site) as caller:
            caller.request('two', PLAIN)
            assert (await caller.response()).status == 200
        assert not site.routers[0].dump()['violations']
    assert len([line for line in lines if line.get('request') == 'one']) == 1
    assert not any(record.exc_info for record in caplog.records)


@pytest.mark.parametrize(
    'error', [KeyError('secret'), asyncio.CancelledError()]
)
async def test_error_within_a_stream_ends_in_a_visible_abort(
    monkeypatch: pytest.MonkeyPatch, error: BaseException
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.event_s = 0.2
        async with raw_caller(site) as caller:
            caller.request('one')
            await caller.reader.readuntil(b'id: 1')
            monkeypatch.setattr(Attempt, '_relay_event', _failing(error))
            async with asyncio.timeout(5):
                with pytest.raises(asyncio.IncompleteReadError):
                    await caller.reader.readuntil(b'0\r\n\r\n')
        endings = site.routers[0].ports.handler.endings
        await site.until(lambda: not endings.under_way)
        assert endings.count_by_ending[RequestEnding.ABORTED] == 1
        assert not site.routers[0].dump()['violations']


async def test_error_as_a_stream_starts_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        monkeypatch.setattr(CallerStream, 'start', _failing(KeyError('secret')))
        async with raw_caller(site) as caller:
            caller.request('one')
            async with asyncio.timeout(5):
                assert (await caller.response()).status == 500
        assert not site.routers[0].dump()['violations']
