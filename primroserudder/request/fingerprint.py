"""Fingerprint of a request's content, independent of its id."""

from collections.abc import Mapping
from types import MappingProxyType

import orjson
import xxhash

from .caller import CallerRequest

# Fields that determine the work of an engine. Other fields, such as the
# caller's own ids, the seed and ``stream``, do not change the fingerprint.
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
_EMPTY_BODY: Mapping[str, object] = MappingProxyType({})


def fingerprint(request: CallerRequest) -> str:
    """Return a hex digest that is equal for requests of equal content.

    Explanation
    ===========
    The digest includes the deployment, since content that crashes one model
    need not crash another. It excludes the workspace: the same content is
    equally dangerous from every workspace.
    """
    body = orjson.loads(request.body) or _EMPTY_BODY
    work = {name: body[name] for name in body if name in WORK_FIELDS}
    text = orjson.dumps(work, option=orjson.OPT_SORT_KEYS)
    digest = xxhash.xxh3_128(request.service.deployment.encode())
    digest.update(request.service.adapter.encode())
    digest.update(b' '.join(text.split()))
    return digest.hexdigest()
