"""The request mixes of the two deployments of the brief.

Haddad: bursty live hints in class, full marking jobs (long prompts, long
answers) mostly at night, answer-checks that must not run twice. Padma: long
claim drafts, follow-up questions, status lookups, claim filings that must
not run twice.

Prompts are about a quarter of the sizes the users publish (5,382 shared and
6,610 own tokens for a full paper), so that one machine can carry them.
"""

import random

import attrs


@attrs.frozen
class Kind:
    """One kind of request in a mix.

    :ivar work_class: the class of work it names.
    :ivar share: its share of arrivals.
    :ivar prompt_chars: prompt length (engine classes).
    :ivar shared_chars: how much of it is one of a few texts that many share
        (an exam paper, a form), which engines' prefix caches can hold.
    :ivar texts: how many such texts there are.
    :ivar max_tokens: tokens asked for (engine classes).
    :ivar service: whether it is a plain-service call.
    """

    work_class: str
    share: float
    prompt_chars: int = 0
    shared_chars: int = 0
    texts: int = 1
    max_tokens: int = 0
    service: bool = False


@attrs.frozen
class Mix:
    """A deployment's kinds of request and how accounts are drawn."""

    kinds: tuple[Kind, ...]
    account_weights: tuple[float, ...]
    """Weights of the accounts in config order: a few large ones."""

    def draw(self, rng: random.Random, accounts: list[str]) -> tuple[Kind, str]:
        """One request's kind and account."""
        kind = rng.choices(self.kinds, [k.share for k in self.kinds])[0]
        weights = list(self.account_weights[: len(accounts)])
        weights += [1.0] * (len(accounts) - len(weights))
        return kind, rng.choices(accounts, weights)[0]


_FEW_LARGE = (8.0, 6.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.5)

MIXES = {
    "haddad": Mix(
        (
            Kind("live-hint", 0.6, 2400, shared_chars=1024, texts=20, max_tokens=32),
            Kind(
                "marking-job", 0.25, 12_000, shared_chars=6144, texts=20, max_tokens=128
            ),
            Kind("answer-check", 0.15, service=True),
        ),
        _FEW_LARGE,
    ),
    "padma": Mix(
        (
            Kind(
                "claim-draft", 0.3, 12_000, shared_chars=6144, texts=20, max_tokens=128
            ),
            Kind("follow-up", 0.3, 2400, shared_chars=1024, texts=20, max_tokens=32),
            Kind("status-lookup", 0.3, service=True),
            Kind("claim-filing", 0.1, service=True),
        ),
        _FEW_LARGE,
    ),
}
