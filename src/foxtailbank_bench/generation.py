"""Deterministic output of the engine stand-in."""

import xxhash

# Output that reaches this length ends by itself, with finish reason "stop".
MAX_GENERATED_TOKENS = 512
INDEX_BYTES = 8
_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "to")
WORDS = tuple(
    first + second + third
    for first in _SYLLABLES
    for second in _SYLLABLES
    for third in _SYLLABLES
)


class Generation:
    """Tokens that a model generates for a prompt.

    Parameters
    ----------
    model : str
        Name of the model or adapter.
    prompt : str
        Complete prompt.
    max_tokens : int
        Maximum output length, counted from token index 0.
    """

    def __init__(self, *, model: str, prompt: str, max_tokens: int) -> None:
        self._seed = xxhash.xxh64_intdigest(f"{model}\0{prompt}")
        self.length = min(max_tokens, MAX_GENERATED_TOKENS)
        self.finish_reason = "length" if max_tokens <= MAX_GENERATED_TOKENS else "stop"

    def token(self, index: int) -> str:
        """Return the token at an index, a function of model, prompt and index only."""
        token_hash = xxhash.xxh64_intdigest(
            index.to_bytes(INDEX_BYTES, "big"), seed=self._seed
        )
        word = WORDS[token_hash % len(WORDS)]
        return f" {word}" if index else word
