"""Responses outside the grammar of HTTP, by what is wrong with them.

Explanation
===========
The responses belong to the attempt of ``rawattempts``: they echo its id and
have a seal, so that nothing but their form makes them broken.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from .rawattempts import EVENTS, HEAD

BODY = EVENTS
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNK = b'%x\r\n%s\r\n' % (len(BODY), BODY)
LAST_CHUNK = b'0\r\n\r\n'
CHUNKS = b''.join((CHUNK, LAST_CHUNK))
STATUS_LINE = b'HTTP/1.1 200 OK'
INTERIM_STATUS_LINE = b'HTTP/1.1 103 Early Hints'
INTERIM_FIELD = b'Link: one\r\n'
INTERIM = b''.join((INTERIM_STATUS_LINE, b'\r\n', INTERIM_FIELD, b'\r\n'))
SEAL_LINE = b'X-Primroserudder-Response-Seal: seal\r\n'
ByName = Mapping[str, bytes]


def with_framing(fields: bytes, body: bytes = BODY) -> bytes:
    """Return a response with these fields as its framing."""
    return b''.join((HEAD, fields, b'\r\n', body))


def with_status_line(line: bytes) -> bytes:
    """Return a response with a length and this status line."""
    return with_framing(LENGTH).replace(STATUS_LINE, line)


def with_line(line: bytes) -> bytes:
    """Return a response with a length and a further line in its head."""
    return with_framing(b''.join((LENGTH, line, b'\r\n')))


def in_chunks(body: bytes) -> bytes:
    """Return a response with a body that is framed in chunks."""
    return with_framing(CHUNKED, body)


def with_trailer(line: bytes) -> bytes:
    """Return a response in chunks with a line after the last one."""
    return in_chunks(b''.join((CHUNK, b'0\r\n', line, b'\r\n\r\n')))


def after_interim(
    line: bytes = INTERIM_STATUS_LINE, field: bytes = INTERIM_FIELD
) -> bytes:
    """Return a sound response after an interim head."""
    interim = INTERIM.replace(INTERIM_STATUS_LINE, line)
    return interim.replace(INTERIM_FIELD, field) + with_framing(LENGTH)


def _by_form(kind: str, forms: Iterable[bytes]) -> ByName:
    """Return forms by a kind and how they are written."""
    return {' '.join((kind, repr(form)[2:-1])): form for form in forms}


def in_heads(lines_by_name: ByName) -> ByName:
    """Return responses with each line, in their head or an interim one."""
    finals = {
        f'{name} in a head': with_line(line)
        for name, line in lines_by_name.items()
    }
    interims = {
        f'{name} in an interim head': after_interim(
            field=b''.join((line, b'\r\n'))
        )
        for name, line in lines_by_name.items()
    }
    return {**finals, **interims}


def in_trailers(lines_by_name: ByName) -> ByName:
    """Return responses with each line among their trailers."""
    return {
        f'{name} in a trailer': with_trailer(line)
        for name, line in lines_by_name.items()
    }


_STATUS_LINES = _by_form(
    'status line',
    (
        b'HTTP/1.1 000 Odd',
        b'HTTP/1.1 001 Odd',
        b'HTTP/1.1 099 Odd',
        b'HTTP/1.1 600 Odd',
        b'HTTP/1.1 700 Odd',
        b'HTTP/1.1 999 Odd',
        b'HTTP/1.1 20 Odd',
        b'HTTP/1.1 2000 Odd',
        b'HTTP/1.1 2x0 Odd',
        b'HTTP/1.1 +20 Odd',
        b'HTTP/2.0 200 OK',
        b'HTTP/2 200 OK',
        b'HTTP/0.9 200 OK',
        b'HTTP/1.2 200 OK',
        b'HTTP/3.0 200 OK',
        b'HTTP/11.1 200 OK',
        b'HTTP/1.1\t200 OK',
        b'HTTP/1.1  200 OK',
        b'HTTP/1.1 200\tOK',
        b'HTTP/1.1 200-OK',
        b'http/1.1 200 OK',
        b'HTTQ/1.1 200 OK',
        b'ICY 200 OK',
        b'RTSP/1.0 200 OK',
        b' HTTP/1.1 200 OK',
        b'\r\nHTTP/1.1 200 OK',
        b'HTTP/1.1 200 O\x00K',
        b'HTTP/1.1 200 O\x01K',
        b'HTTP/1.1 200 O\rK',
        b'HTTP/1.1 200 O\x7fK',
    ),
)
BROKEN_STATUS_LINES: ByName = MappingProxyType(
    {
        **{
            name: with_status_line(line) for name, line in _STATUS_LINES.items()
        },
        **{
            f'{name} after an interim head': b''.join(
                (INTERIM, with_status_line(line))
            )
            for name, line in _STATUS_LINES.items()
        },
        **{
            f'interim {name}': after_interim(line)
            for name, line in _by_form(
                'status line',
                (
                    b'HTTP/1.1 000 Odd',
                    b'HTTP/1.1 099 Odd',
                    b'HTTP/2.0 103 Odd',
                    b'HTTP/1.1 103 O\x01dd',
                ),
            ).items()
        },
    }
)

LINE_FEEDS: ByName = MappingProxyType(
    {
        'line feeds in a head': b''.join(
            (with_framing(LENGTH, b'').replace(b'\r\n', b'\n'), BODY)
        ),
        'line feed after a status line': with_framing(LENGTH).replace(
            b'OK\r\n', b'OK\n'
        ),
        'line feed after a field': with_framing(LENGTH).replace(
            SEAL_LINE, SEAL_LINE.replace(b'\r\n', b'\n')
        ),
        'line feed after the head': with_framing(LENGTH).replace(
            b'\r\n\r\n', b'\r\n\n'
        ),
    }
)
_NAMES = _by_form(
    'name',
    (
        b'X Odd: 1',
        b'X\tOdd: 1',
        b'X\x00Odd: 1',
        b'X\x01Odd: 1',
        b'X\x7fOdd: 1',
        b'X\rOdd: 1',
        b'X-Odd : 1',
        b'X-Odd\t: 1',
        b': 1',
        b'X-Odd',
        b'X(Odd): 1',
        b'X"Odd: 1',
        b'X/Odd: 1',
        b'X@Odd: 1',
        b'X\xe4Odd: 1',
    ),
)
BROKEN_NAMES: ByName = in_heads(_NAMES)
_TEXTS = _by_form(
    'field',
    (b'X-Odd: a%cb' % code for code in (0, 1, 8, 11, 12, 13, 27, 31, 127)),
)
BROKEN_TEXTS: ByName = in_heads(_TEXTS)
_FOLDED_LINES = _by_form(
    'line',
    (b' X-Odd: 1', b'\tX-Odd: 1', b'X-Odd: 1\r\n 2', b'X-Odd:\r\n\t2'),
)
FOLDED_LINES: ByName = MappingProxyType(
    {
        **in_heads(_FOLDED_LINES),
        'folded seal': with_framing(LENGTH).replace(
            SEAL_LINE, b'%s X-Odd: 1\r\n' % SEAL_LINE
        ),
        'folded first line': with_status_line(
            b''.join((STATUS_LINE, b'\r\n X-Odd: 1'))
        ),
    }
)
BROKEN_FRAMINGS: ByName = MappingProxyType(
    {
        **{
            name: with_framing(fields)
            for name, fields in _by_form(
                'framing',
                (
                    b'Content-Length: +30\r\n',
                    b'Content-Length: -1\r\n',
                    b'Content-Length: 0x1e\r\n',
                    b'Content-Length: \r\n',
                    b'Content-Length: 3 0\r\n',
                    b'Content-Length: 30, 30\r\n',
                    b'Content-Length: %s\r\n' % (b'9' * 40),
                    b'%sContent-Length: 5\r\n' % LENGTH,
                    LENGTH * 2,
                    b'Transfer-Encoding: gzip\r\n',
                    b'Transfer-Encoding: identity\r\n',
                    b'Transfer-Encoding:\r\n',
                ),
            ).items()
        },
        **{
            name: with_framing(fields, CHUNKS)
            for name, fields in _by_form(
                'framing',
                (
                    b''.join((LENGTH, CHUNKED)),
                    b''.join((CHUNKED, LENGTH)),
                    CHUNKED * 2,
                    b'Transfer-Encoding: gzip, chunked\r\n',
                    b'Transfer-Encoding: gzip\r\n%s' % CHUNKED,
                    b'Transfer-Encoding: chunked, chunked\r\n',
                    b'Transfer-Encoding: chunked, gzip\r\n',
                    b'Transfer-Encoding: xchunked\r\n',
                    b'Transfer-Encoding: "chunked"\r\n',
                ),
            ).items()
        },
        'chunks in HTTP/1.0': in_chunks(CHUNKS).replace(
            b'HTTP/1.1', b'HTTP/1.0'
        ),
        'interim head with a length': after_interim(
            field=b'Content-Length: 9\r\n'
        ),
        'interim head with chunks': after_interim(field=CHUNKED),
    }
)
BROKEN_CHUNKS: ByName = MappingProxyType(
    {
        **{
            name: in_chunks(
                b''.join((line, b'\r\n', BODY, b'\r\n', LAST_CHUNK))
            )
            for name, line in _by_form(
                'chunk',
                (
                    b'',
                    b'+1e',
                    b'0x1e',
                    b' 1e',
                    b'1e ',
                    b'1e\t',
                    b'1_e',
                    b'g',
                    b'1' * 40,
                    b'1e extension',
                    b'1e;',
                    b'1e;=text',
                    b'1e;na me',
                    b'1e;na(me',
                    b'1e;name=',
                    b'1e;name="text',
                    b'1e;name=te\x01xt',
                    b'1e;name=te\rxt',
                ),
            ).items()
        },
        'line feed after a size': in_chunks(
            b'1e\n%s\r\n%s' % (BODY, LAST_CHUNK)
        ),
        'line feed after data': in_chunks(b'1e\r\n%s\n%s' % (BODY, LAST_CHUNK)),
        'line feeds after the last chunk': in_chunks(b'%s0\n\n' % CHUNK),
        'data longer than its size': in_chunks(
            b'1e\r\n%sX\r\n%s' % (BODY, LAST_CHUNK)
        ),
        'data shorter than its size': in_chunks(
            b'20\r\n%s\r\n%s' % (BODY, LAST_CHUNK)
        ),
    }
)
BROKEN_TRAILERS: ByName = in_trailers({**_NAMES, **_TEXTS, **_FOLDED_LINES})
# Rare, but within the grammar.
SOUND: ByName = MappingProxyType(
    {
        'ends with its connection': with_framing(b''),
        'length': with_framing(LENGTH),
        'length with zeros': with_framing(
            b'Content-Length: 00%d\r\n' % len(BODY)
        ),
        'length between blanks': with_framing(
            b'Content-Length:\t  %d \t\r\n' % len(BODY)
        ),
        'chunks': in_chunks(CHUNKS),
        'chunks in capitals': with_framing(
            b'TRANSFER-ENCODING: Chunked \r\n', CHUNKS
        ),
        'small chunks': in_chunks(
            b''.join((*(b'1\r\n%c\r\n' % octet for octet in BODY), LAST_CHUNK))
        ),
        'size in capitals': in_chunks(b'1E\r\n%s\r\n%s' % (BODY, LAST_CHUNK)),
        'size with zeros': in_chunks(b'000%s000\r\n\r\n' % CHUNK),
        'chunk extensions': in_chunks(
            b'1e;one;two=2;three="a;b"\r\n%s\r\n0;last\r\n\r\n' % BODY
        ),
        'blanks in chunk extensions': in_chunks(
            b'1e;one ; two="a;\x5c\x22b" ;\tthree = x\r\n%s\r\n%s'
            % (BODY, LAST_CHUNK)
        ),
        'trailers': with_trailer(b'X-Sum: a b\r\nX-Empty:\r\nX-More:  c '),
        'several spaces after a colon': with_line(b'X-Odd:  \t  1'),
        'no space after a colon': with_line(b'X-Odd:1'),
        'spaces at the end of a field': with_line(b'X-Odd: 1 \t '),
        'empty field': with_line(b'X-Odd:'),
        'repeated field': with_line(b'X-Odd: 1\r\nX-Odd: 2'),
        'odd token': with_line(b"!#$%&'*+-.^_`|~9: 1"),
        'tab in a field': with_line(b'X-Odd: a\tb'),
        'bytes above ASCII in a field': with_line(b'X-Odd: gr\xc3\xbcn'),
        'latin bytes in a field': with_line(b'X-Odd: gr\xfcn'),
        'empty reason': with_status_line(b'HTTP/1.1 200 '),
        'no reason': with_status_line(b'HTTP/1.1 200'),
        'long reason': with_status_line(b'HTTP/1.1 200 All is well\t(so far)'),
        'latin bytes in a reason': with_status_line(b'HTTP/1.1 200 gr\xfcn'),
        'HTTP/1.0': with_status_line(b'HTTP/1.0 200 OK'),
        'HTTP/1.0 that ends with its connection': with_framing(b'').replace(
            b'HTTP/1.1', b'HTTP/1.0'
        ),
        'status 299': with_status_line(b'HTTP/1.1 299 Odd'),
        'offers another protocol': with_line(
            b'Connection: upgrade\r\nUpgrade: h2c'
        ),
        'interim heads': b''.join(
            (
                b'HTTP/1.1 100 Continue\r\n\r\n',
                INTERIM,
                b'HTTP/1.1 199 Odd\r\nX-Odd:  1\r\n\r\n',
                with_framing(LENGTH),
            )
        ),
    }
)
BROKEN_HEADS: ByName = MappingProxyType(
    {
        **BROKEN_STATUS_LINES,
        **LINE_FEEDS,
        **BROKEN_NAMES,
        **BROKEN_TEXTS,
        **FOLDED_LINES,
        **BROKEN_FRAMINGS,
    }
)
BROKEN_BODIES: ByName = MappingProxyType({**BROKEN_CHUNKS, **BROKEN_TRAILERS})
