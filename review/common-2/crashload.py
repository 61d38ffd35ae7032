"""Engines that crash, and clients that send streams and count what is served."""

import asyncio
import time

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, TCPConnector

from smallsite import HOST, KEY, STALL_MS

CLIENTS = 80
CRASHED_S = 4.5
# The entry of a crashed engine leaves the list after this time.
EXPIRY_S = 3.6


class Engines:
    """Crashes engines, brings them back, and breaks groups that lost one."""

    def __init__(self, site):
        self.site = site
        self.lost_at = {}

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for engine in self.site.engines.values():
                self._stall(engine, now)

    def _stall(self, head, now):
        group = head.group
        if (
            head.is_down
            or group is None
            or group['rank']
            or group['State'] not in ('open', 'closing')
        ):
            self.lost_at.pop(head.engine_id, None)
            return
        whole = all(self._is_in(member, group) for member in head.members)
        head.faults.is_silent = not whole
        if whole:
            self.lost_at.pop(head.engine_id, None)
        elif (
            now - self.lost_at.setdefault(head.engine_id, now) > STALL_MS / 1000
        ):
            head.member.group = {**group, 'State': 'broken'}
            head.faults.is_silent = False
            for request in list(head.running_by_id.values()):
                if request.transport is not None:
                    request.transport.abort()
            head.register()

    def _is_in(self, member, group):
        engine = self.site.engines[member]
        theirs = engine.group
        return (
            not engine.is_down
            and theirs is not None
            and theirs['Name'] == group['Name']
        )

    async def crash(self, engine):
        engine.is_down = True
        engine.faults.is_silent = False
        for request in list(engine.running_by_id.values()):
            if request.transport is not None:
                request.transport.abort()
        await asyncio.sleep(EXPIRY_S)
        engine.deregister()
        await asyncio.sleep(CRASHED_S - EXPIRY_S)
        staged = engine.member.staged
        engine.born += 1000
        engine.member.restart(staged)
        engine.is_down = False
        engine.register()


class Load:
    """Clients that send streams and come back as they are told."""

    def __init__(self, site):
        self.site = site
        self.results = []

    async def run(self, number):
        timeout = ClientTimeout(total=8)
        async with ClientSession(
            cookie_jar=DummyCookieJar(),
            timeout=timeout,
            connector=TCPConnector(force_close=True),
        ) as session:
            sent = 0
            await asyncio.sleep(number / CLIENTS)
            while True:
                sent += 1
                pause_s = await self._send(
                    session, f'c{number}-{sent}', number + sent
                )
                await asyncio.sleep(pause_s)

    async def _send(self, session, request_id, turn):
        routers = list(self.site.routers.values())
        fields = routers[turn % len(routers)][1]
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Attempt-Id': request_id,
            'X-Primroserudder-Model': 'small',
            'X-Primroserudder-Token-Usage': '100,60',
            'X-Primroserudder-Prefix-Hash': f'5c1e:40,{request_id}:60',
            'X-Primroserudder-Deadline-Ms': '6000',
        }
        began_at = time.monotonic()
        pause_s = 0.1
        try:
            async with session.post(
                f'http://{fields["callers"]}/notes/1',
                headers=headers,
                data=b'text',
            ) as answer:
                await answer.read()
                result = str(answer.status)
                if answer.status == 503:
                    pause_s = min(
                        float(answer.headers.get('Retry-After', 0.5)), 2.0
                    )
        except Exception as error:
            result = type(error).__name__
            pause_s = 0.5
        self.results.append((began_at, result))
        return pause_s

    def served(self, since, until):
        chosen = [result for at, result in self.results if since <= at < until]
        return chosen.count('200'), len(chosen)
