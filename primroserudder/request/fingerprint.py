"""Recognises a request by its content, whatever its id."""

from collections.abc import Mapping
from types import MappingProxyType

import orjson
import xxhash

from .caller import CallerRequest

# What decides on the work of an engine. Fields that are not named here, such
# as a caller's own ids, the seed and whether the answer is streamed, do not
# make it another request.
WORK_FIELDS = frozenset(
    (
        'best_of',
        'frequency_penalty',
        'guided_json',
        'logit_bias',
        'logprobs',
        'max_tokens',
        'messages',
        'n',
        'presence_penalty',
        'prompt',
        'response_format',
        'stop',
        'suffix',
        'temperature',
        'tool_choice',
        'tools',
        'top_k',
        'top_p',
    )
)
_NOTHING: Mapping[str, object] = MappingProxyType({})


def fingerprint(request: CallerRequest) -> str:
    """Return the same digest for all requests that ask the same of a model.

    Explanation
    ===========
    The deployment is a part of it, since what crashes one model need not
    crash another. The workspace is none: the same content is as dangerous
    from anybody.
    """
    body = orjson.loads(request.body) or _NOTHING
    work = {name: body[name] for name in body if name in WORK_FIELDS}
    text = orjson.dumps(work, option=orjson.OPT_SORT_KEYS)
    digest = xxhash.xxh3_128(request.service.deployment.encode())
    digest.update(request.service.adapter.encode())
    digest.update(b' '.join(text.split()))
    return digest.hexdigest()
