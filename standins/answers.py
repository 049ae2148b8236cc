"""Makes the text with which a stand-in engine answers a prompt.

Each token names its prompt and its offset, so that a check detects a part
that is missing, repeated or of another answer.
"""

import xxhash


def answer_token(prompt: str, index: int) -> str:
    """Make one token of the answer to a prompt.

    Args:
        prompt: the prompt of the caller, without resumed text.
        index: the offset of the token in the answer.

    Returns:
        A text that differs for each prompt and offset.
    """
    return f"{xxhash.xxh32_hexdigest(prompt.encode())}:{index} "


def answer_text(prompt: str, offset: int, token_count: int) -> str:
    """Return the text of ``token_count`` tokens from ``offset`` on."""
    digest = xxhash.xxh32_hexdigest(prompt.encode())
    return "".join(f"{digest}:{i} " for i in range(offset, offset + token_count))
