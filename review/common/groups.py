"""Engines of models in groups, and streams, for the cases of the review.

The engines are the project's stand-ins. In addition a group that lacks a member
stands still, and breaks after the stall time, as the users' pages say.
"""

import asyncio

from aiohttp import web

from primroserudder.standins.groupengine import HANG_S, SEAL, GroupEngine, event
from primroserudder.standins.groupmember import GroupMember

from review.common.site import configuration, plain_route

MODEL = 'm1'
GROUP_SIZE = 2
# Figures of the users' sheet for the site vardplats-router.
STALL_S = 6.0
HEARTBEAT_S = 1.2
SLOTS = 13
LOAD_S = 12.0
WARM_S = 1.1
# A join takes so long if the model was that of the engine's last group.
REJOIN_S = 0.2
FORM_S = 0.3
EVENTS = 27
EVENT_S = 0.22
TIMEOUT_S = 8.0
LOOK_S = 0.01
READY_STATES = ('ready', 'open', 'closing')
SERVING_STATES = ('open', 'closing')


class Engine(GroupEngine):
    """An engine whose group stands still while it lacks a member."""

    def prepare(self, site, late_orders=None):
        """Begin without a group, with the model on the host.

        ``late_orders`` chooses the orders that are left unanswered.
        """
        self.site = site
        self.late_orders = late_orders
        self.is_cut = False
        self.stands_still_since = None
        self.violations = []
        self.member = GroupMember(
            self.engine_id,
            self.register,
            WARM_S,
            form_s=FORM_S,
            staged=(MODEL,),
            is_idle=lambda: not self.running,
        )

    def register(self):
        """Write the entry, unless the store can't be reached."""
        if not self.is_cut:
            GroupEngine.register(self)

    def state(self):
        """Return the state in the group, empty without one."""
        return '' if self.group is None else self.group['State']

    async def _take_order(self, request):
        order = await request.json()
        self.orders.append(order)
        late = self.late_orders
        if late is not None and late.takes(order, self.engine_id):
            self._note_order(order, 'unanswered')
            self.site.start_task(self._execute_late(order))
            await asyncio.sleep(HANG_S)
        return web.Response(status=self._execute(order, 'at once'))

    async def _execute_late(self, order):
        await asyncio.sleep(self.late_orders.delay_s)
        self._execute(order, 'late')

    def _execute(self, order, when):
        head = self._head_that_loses_this(order)
        group, state = self.group, '' if head is None else head.state()
        if order['Operation'] == 'join':
            self._note_name(order)
        status = int(self.member.execute(order))
        self._note_order(order, when, status)
        if order['Operation'] == 'join' and status == 202:
            self.member.join_s = REJOIN_S
            if head is not None:
                self.violations.append(order['group'])
                self.site.record.note(
                    'rule_broken',
                    engine=self.engine_id,
                    joins=order['group'],
                    while_in=group['Name'],
                    head=head.engine_id,
                    head_state=state,
                    head_runs=head.running,
                )
        return status

    def _head_that_loses_this(self, order):
        """Return the head of this engine's group, if it takes requests."""
        group = self.group
        if order['Operation'] != 'join' or group is None:
            return None
        if order['group'] == group['Name']:
            return None
        head = self.site.engines[self.members[0]]
        is_same = head.group is not None and head.group['Name'] == group['Name']
        if is_same and head.state() in SERVING_STATES:
            return head
        return None

    def _note_name(self, order):
        """Note a group's name that was given to other members before."""
        members = tuple(order['Members'])
        known = self.site.members_by_group.setdefault(order['group'], members)
        if known != members:
            self.site.record.note(
                'name_given_twice',
                group=order['group'],
                first_to=','.join(known),
                then_to=','.join(members),
            )

    def _note_order(self, order, when, status=''):
        self.site.record.note(
            'order',
            engine=self.engine_id,
            operation=order['Operation'],
            group=order.get('group'),
            members=','.join(order.get('Members', ())),
            carried_out=when,
            status=status,
        )

    def look_at_group(self, now):
        """Stand still without a member, and break after the stall time."""
        if self.group is None or self.state() not in SERVING_STATES:
            self.stands_still_since = None
            return
        if all(map(self._is_with_this, self.members)):
            if self.stands_still_since is not None:
                self.site.record.note('group_goes_on', head=self.engine_id)
            self.stands_still_since = None
            return
        if self.stands_still_since is None:
            self.stands_still_since = now
            self.site.record.note('group_stands_still', head=self.engine_id)
        if now - self.stands_still_since >= STALL_S:
            self.site.record.note('group_breaks', head=self.engine_id)
            self.member.group = {**self.group, 'State': 'broken'}
            self.stands_still_since = None
            for request in tuple(self.running_by_id.values()):
                request.transport.abort()
            self.register()

    def _is_with_this(self, engine_id):
        group = self.site.engines[engine_id].group
        return (
            group is not None
            and group['Name'] == self.group['Name']
            and group['State'] in READY_STATES
        )

    async def _stream(self, request, headers):
        response = web.StreamResponse(
            headers={**headers, 'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            while self.stands_still_since is not None:
                await asyncio.sleep(LOOK_S)
            await response.write(event(number))
            await asyncio.sleep(EVENT_S)
        await response.write_eof()
        return response


async def heartbeats(site):
    """Let the engines write their entries, as living ones do."""
    while True:
        for engine in tuple(site.engines.values()):
            engine.register()
        await asyncio.sleep(HEARTBEAT_S)


async def look_at_groups(site):
    """Let groups that lack a member stand still."""
    while True:
        now = asyncio.get_running_loop().time()
        for engine in site.engines.values():
            engine.look_at_group(now)
        await asyncio.sleep(LOOK_S)


async def send_stream(site, router, number):
    """Send one request for a stream and note its result."""
    attempt_id = f'note.{number}'
    at = site.record.now()
    status, headers, body = await site.request(
        router,
        '/notes/1',
        attempt_id,
        body=f'note {number}'.encode(),
        **{
            'X-Primroserudder-Deadline-Ms': f'{TIMEOUT_S * 1000:.0f}',
            'X-Primroserudder-Model': MODEL,
            'X-Primroserudder-Token-Usage': '1460,180',
            'X-Primroserudder-Prefix-Hash': f'5c1e07a2:40,e{number:07x}:1420',
        },
    )
    is_whole = status == 200 and f'id: {EVENTS}\n'.encode() in body
    site.record.note(
        'request',
        id=attempt_id,
        sent=f'{at:.3f}',
        status=status,
        answered_by=headers.get(SEAL, '-').replace(' ', '_'),
        whole=is_whole,
        answer='' if status == 200 else body[:90].decode('utf-8', 'replace'),
    )


async def send_streams(site, interval_s):
    """Send requests for streams, until cancelled."""
    number = 0
    while True:
        number += 1
        running = [each for each in site.routers if each.is_running()]
        router = running[number % len(running)]
        site.start_task(send_stream(site, router, number))
        await asyncio.sleep(interval_s)


def model_configuration():
    """Return a configuration with one model of groups of two engines."""
    route = plain_route(
        'notes',
        'model',
        'streaming',
        TimeoutMs=TIMEOUT_S * 1000,
        GapSloMs=300,
        Sticky=True,
    )
    model = {
        'Name': MODEL,
        'size': GROUP_SIZE,
        'Share': 1.0,
        'LoadS': LOAD_S,
        'WarmS': WARM_S,
    }
    spec = {
        'Slots': SLOTS,
        'KvCapacity': 700_000,
        'Models': [model],
        'LoadsPerS': 2,
        'loads_at_once': 4,
    }
    service = {'Name': 'model', 'MaxConns': 304, 'Engine': spec}
    return configuration(3, [route], [service])


async def wait_for_groups(site, groups):
    """Return the heads once so many groups are open."""
    async with asyncio.timeout(30):
        while True:
            heads = [each for each in site.engines.values() if each.is_open()]
            if len(heads) >= groups:
                return heads
            await asyncio.sleep(LOOK_S)


async def add_engine(
    site, name, rack, zone, late_orders=None, *, is_staged=True
):
    """Add an engine, usually with the model on its host."""
    engine = Engine(
        name,
        '',
        site.store,
        domain=rack,
        failure_domain=zone,
        slots=SLOTS,
    )
    engine.prepare(site, late_orders)
    if not is_staged:
        engine.member.staged = ()
        engine.member.join_s = LOAD_S + WARM_S
    return await site.add_engine(engine)


def times_broken(site):
    """Return how often an engine was taken from a group that is open."""
    return sum(len(engine.violations) for engine in site.engines.values())
