"""The text that a stand-in engine answers a prompt with.

Each token names its prompt and its place, so that a foreign, repeated or
missing part of an answer cannot pass for the right one.
"""

import xxhash


def answer_token(prompt: str, index: int) -> str:
    """Make one token of the answer to a prompt.

    Args:
        prompt: the caller's prompt, without any resumed text.
        index: the token's offset in the answer.

    Returns:
        Text that no other prompt and no other offset has.
    """
    return f"{xxhash.xxh32_hexdigest(prompt.encode())}:{index} "


def answer_text(prompt: str, offset: int, token_count: int) -> str:
    """Returns: the text of ``token_count`` tokens from ``offset`` on."""
    digest = xxhash.xxh32_hexdigest(prompt.encode())
    return "".join(f"{digest}:{i} " for i in range(offset, offset + token_count))
