"""The mixed load of the demo: texts of both firms, and requests that get refused."""

import dataclasses
import json
import random

from bench.sites import SiteSpec

__all__ = ["Load", "Task"]

STYLE_GUIDE = (
    "House style. Measures in millimetres, prices with a comma, no exclamation "
    "marks. Names of papers and inks stay as the maker writes them; the letters "
    "āčēģīķļņšūž are never replaced. Headlines carry no full stop. "
) * 12
LATVIAN = (
    "Kalendārs 2027, krītpapīrs 170 g/m², šūtas lapas, zelta spiedums uz vāka",
    "Brošūra «Jūrmalas kāpas», A5, 24 lpp., ķīmiski balināts papīrs",
    "Vizītkartes ar čiekuru ornamentu, 400 g/m², noapaļoti stūri",
)
ARABIC = (
    "إنّا لله وإنّا إليه راجعون — انتقل إلى رحمة الله تعالى سالم بن خلفان المعولي، "
    "والد كلٍّ من خلفان ومريم، والعزاء في مجلس المعاولة بروي",
    "ينعى آل الحارثي فقيدتهم شيخة بنت محمد، وتُقبل التعازي بعد صلاة المغرب 🕌",
    "Passed away peacefully: Salim bin Khalfan Al Maʿwali, father of Maryam.",
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """One request of the load; an empty ``expected_refusal`` means an answer."""

    account: str
    kind: str
    path: str = "/v1/chat/completions"
    method: str = "POST"
    model: str = "auto"
    messages: tuple[dict, ...] = ()
    stream: bool = False
    raw: bytes | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    expected_refusal: str = ""


class Load:
    """The mixed load of a site; the same seed gives the same load."""

    def __init__(self, *, spec: SiteSpec, seed: int):
        self.spec = spec
        self.random = random.Random(seed)
        self.serial = 0

    def tasks(self, count: int) -> list[Task]:
        """Return ``count`` tasks in random order, eight of which must be refused."""
        factories = [
            self._long_chat,
            self._medium_chat,
            self._short_chat,
            self._service_read,
            self._service_order,
        ]
        weights = [4, 4, 6, 2, 2]
        tasks = [self.random.choices(factories, weights)[0]() for _ in range(count - 8)]
        tasks.extend(self._refused_tasks())
        self.random.shuffle(tasks)
        return tasks

    def _account(self) -> str:
        large = self.random.random() < 0.6
        names = self.spec.large_accounts if large else self.spec.accounts
        return self.random.choice(names)

    def _sample_texts(self) -> tuple[str, ...]:
        return LATVIAN if self.spec.name == "daugava" else ARABIC

    def _chat(self, kind: str, system: str, *, repeat: int) -> Task:
        self.serial += 1
        text = " ".join(self.random.choices(self._sample_texts(), k=repeat))
        return Task(
            account=self._account(),
            kind=kind,
            messages=(
                {"role": "system", "content": system},
                {"role": "user", "content": f"{self.serial}. {text}"},
            ),
            stream=self.random.random() < 0.5,
        )

    def _long_chat(self) -> Task:
        kind = "catalogue" if self.spec.name == "daugava" else "notice"
        return self._chat(kind, STYLE_GUIDE, repeat=4)

    def _medium_chat(self) -> Task:
        kind = "blurb" if self.spec.name == "daugava" else "condolence"
        return self._chat(kind, "Rewrite kindly and briefly.", repeat=2)

    def _short_chat(self) -> Task:
        kind = "caption" if self.spec.name == "daugava" else "line"
        return self._chat(kind, "One line.", repeat=1)

    def _service_read(self) -> Task:
        self.serial += 1
        return Task(
            account=self._account(),
            kind="service",
            method="GET",
            path=f"/v1/services/{self.spec.plain_service}/proofs/{self.serial}?size=a5",
        )

    def _service_order(self) -> Task:
        self.serial += 1
        return Task(
            account=self._account(),
            kind="effect",
            path=f"/v1/services/{self.spec.plain_service}/orders",
            raw=json.dumps({"order": self.serial}).encode(),
            headers={"Idempotency-Key": f"order-{self.serial}"},
        )

    def _refused_tasks(self) -> list[Task]:
        chat = ({"role": "user", "content": "x"},)
        expensive_model = (
            "linnet-large" if self.spec.name == "daugava" else "linnet-notice"
        )
        restricted_account = self.spec.accounts[-1]
        ordinary_account = self.spec.accounts[0]
        invalid_session = {"Linnetladder-Session": "0000000001.e30.AAAA"}
        return [
            Task(
                account=restricted_account,
                kind="forbidden",
                model=expensive_model,
                messages=chat,
                expected_refusal="model_not_allowed",
            ),
            Task(
                account=ordinary_account,
                kind="forbidden",
                model="linnet-unheard-of",
                messages=chat,
                expected_refusal="unknown_model",
            ),
            Task(
                account="nobody",
                kind="forbidden",
                messages=chat,
                expected_refusal="unknown_credential",
            ),
            Task(
                account="",
                kind="forbidden",
                messages=chat,
                expected_refusal="missing_credential",
            ),
            Task(
                account=ordinary_account,
                kind="forbidden",
                raw=b'{"messages": [',
                expected_refusal="malformed_json",
            ),
            Task(
                account=ordinary_account,
                kind="forbidden",
                raw=b'{"messages": "not a list"}',
                expected_refusal="invalid_request",
            ),
            Task(
                account=ordinary_account,
                kind="forbidden",
                path="/v1/services/unheard-of/x",
                raw=b"{}",
                expected_refusal="unknown_service",
            ),
            Task(
                account=ordinary_account,
                kind="forbidden",
                messages=chat,
                headers=invalid_session,
                expected_refusal="session_invalid",
            ),
        ]
