"""Encodes the responses of a stand-in engine."""

import orjson

STREAM_END = b'data: [DONE]\n\n'
CHAT_PATH = '/v1/chat/completions'


def token_event(
    path: str,
    request_id: str,
    created: int,
    model: str,
    position: int,
    text: str,
) -> bytes:
    """Return the server-sent event for one token."""
    choice = (
        {'index': 0, 'delta': {'content': text}, 'finish_reason': None}
        if path == CHAT_PATH
        else {'index': 0, 'text': text, 'finish_reason': None}
    )
    kind = 'chat.completion.chunk' if path == CHAT_PATH else 'text_completion'
    body = orjson.dumps(
        {
            'id': request_id,
            'object': kind,
            'created': created,
            'model': model,
            'choices': [choice],
        }
    )
    return b'id: %d\ndata: %s\n\n' % (position, body)


def complete_response(
    path: str,
    request_id: str,
    created: int,
    model: str,
    prompt_words: int,
    tokens: list[str],
) -> bytes:
    """Return the body of a response that is not streamed."""
    text = ''.join(tokens)
    choice = (
        {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': 'length',
        }
        if path == CHAT_PATH
        else {'index': 0, 'text': text, 'finish_reason': 'length'}
    )
    kind = 'chat.completion' if path == CHAT_PATH else 'text_completion'
    return orjson.dumps(
        {
            'id': request_id,
            'object': kind,
            'created': created,
            'model': model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': prompt_words,
                'completion_tokens': len(tokens),
                'total_tokens': prompt_words + len(tokens),
            },
        }
    )
