"""The request mixes of the two deployments.

Haddad: bursty live hints in class, full marking jobs (long prompts, long
answers) mostly at night, answer-checks that must not run twice. Padma: long
claim drafts, follow-up questions, status lookups, claim filings that must
not run twice.

Prompts are about a quarter of the users' published sizes (5,382 shared and 6,610
unique tokens for a full paper), so that the load fits on one machine.
"""

import random

import attrs


@attrs.frozen
class Kind:
    """One kind of request in a mix.

    :ivar work_class: the work class of its requests.
    :ivar share: its share of arrivals.
    :ivar prompt_chars: prompt length (engine classes).
    :ivar shared_chars: length of the prompt's prefix, which is one of a few texts that
        many prompts share (an exam paper, a form) and prefix caches can hold.
    :ivar texts: number of such texts.
    :ivar max_tokens: the request's limit of answer tokens (engine classes).
    :ivar service: whether it is a call of a plain service.
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
    """A deployment's kinds of request, and the distribution over accounts.

    :ivar account_weights: weights of the accounts in configuration order, a few of them
        large; accounts beyond the tuple weigh 1.
    """

    kinds: tuple[Kind, ...]
    account_weights: tuple[float, ...]

    def draw(self, rng: random.Random, accounts: list[str]) -> tuple[Kind, str]:
        """Draw the kind and the account of one request."""
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
