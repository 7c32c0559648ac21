"""Deterministic output of the engine stand-in."""

import xxhash

NATURAL_TOKENS = 512
TOKEN_BYTES = 8
_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "to")
WORDS = tuple(
    first + second + third
    for first in _SYLLABLES
    for second in _SYLLABLES
    for third in _SYLLABLES
)


class Generation:
    """Tokens that a model gives for a prompt.

    Parameters
    ----------
    model : str
        Model or adapter.
    prompt : str
        Whole prompt.
    max_tokens : int
        Bound on the tokens, counted from index 0.
    """

    def __init__(self, *, model: str, prompt: str, max_tokens: int) -> None:
        self._seed = xxhash.xxh64_intdigest(f"{model}\0{prompt}")
        self.length = min(max_tokens, NATURAL_TOKENS)
        self.finish_reason = "length" if max_tokens <= NATURAL_TOKENS else "stop"

    def token(self, index: int) -> str:
        """Return the token at an index; depends on model and prompt only."""
        number = xxhash.xxh64_intdigest(
            index.to_bytes(TOKEN_BYTES, "big"), seed=self._seed
        )
        word = WORDS[number % len(WORDS)]
        return f" {word}" if index else word
