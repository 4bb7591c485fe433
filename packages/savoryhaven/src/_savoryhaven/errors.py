"""Errors that are reported to users, each with its own code.

Every error that savoryhaven reports has a stable code (``SH1xx`` settings,
``SH2xx`` routing document, ``SH3xx`` platform, ``SH4xx`` the VM itself,
``SH5xx`` the operators' commands), the location of the problem and a hint.
The page ``docs/operators/errors.md`` lists them all.
"""

import typing

import attrs


@attrs.frozen(kw_only=True, repr=False)
class Problem:
    """One problem, its location and a hint how to fix it."""

    code: str
    message: str
    path: str = ''
    hint: str = ''

    def __str__(self) -> str:
        location = f' at {self.path}' if self.path else ''
        hint = f' ({self.hint})' if self.hint else ''
        return f'{self.code}{location}: {self.message}{hint}'


class SavoryhavenError(Exception):
    """Base class of all errors that are reported to users."""

    def __init__(self, *problems: Problem) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems: typing.Final = problems

    @property
    def code(self) -> str:
        """Return the code of the first problem."""
        return self.problems[0].code


class SettingsError(SavoryhavenError):
    """The settings of a process can't be used."""


class DocumentError(SavoryhavenError):
    """A routing document or a section of it can't be accepted."""


class ConflictError(SavoryhavenError):
    """Another operator changed the same section in the meantime."""


class PlatformError(SavoryhavenError):
    """The platform's object API refused a call or did not answer."""


class PeerError(SavoryhavenError):
    """A peer sent an invalid message, or did not answer."""


def make_no_answer_error(message: str) -> PeerError:
    """Return the error for a peer that does not answer."""
    return PeerError(
        Problem(code='SH403', message=message, hint='see failure-domain.md')
    )


class OperatorError(SavoryhavenError):
    """An operators' command can't be carried out."""


class HistoryGoneError(PlatformError):
    """The store no longer has the revisions that a watch starts from."""


class UnreadableError(PlatformError):
    """The store answered with something that can't be read.

    ``revision`` is the store revision of the answer, 0 if that can't be read
    either.
    """

    def __init__(self, *problems: Problem, revision: int = 0) -> None:
        super().__init__(*problems)
        self.revision: typing.Final = revision
