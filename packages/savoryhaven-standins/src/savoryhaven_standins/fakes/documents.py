"""Routing documents for tests, and the addresses of their services."""

import typing

from _savoryhaven.tracking import document

ONE = '192.0.2.1:5683'
TWO = '192.0.2.2:5683'


def make_document(
    *,
    generation: int = 1,
    idempotent: bool = True,
    upstreams: typing.Sequence[str] = ('a', 'a', 'b', 'b'),
    limits: dict[str, typing.Any] | None = None,
    **changes: typing.Any,
) -> document.Document:
    """Return a document with one team and the services ``one`` and ``two``.

    ``upstreams`` names the failure domain of each upstream of ``one``.
    """
    one = {
        'address': '192.0.2.1:5683',
        'protocol': 'coap',
        'idempotent': idempotent,
        'limits': limits or {},
        'upstreams': {
            f'one-{index}': {
                'failure_domain': domain,
                'address': f'10.9.1.{index + 1}:5683',
                'slots': 3,
            }
            for index, domain in enumerate(upstreams)
        },
        **changes,
    }
    two = {
        'address': '192.0.2.2:5683',
        'protocol': 'coap',
        'idempotent': True,
        'upstreams': {
            'two-0': {
                'failure_domain': 'b',
                'address': '10.9.2.1:5683',
                'slots': 2,
            }
        },
    }
    return document.load_document(
        {
            'generation': generation,
            'hash_seed': 7,
            'failure_domains': ['a', 'b', 'c'],
            'teams': ['team', 'other'],
            'sections': {
                'team': {
                    'changed_in': generation,
                    'services': {'one': one},
                },
                'other': {'changed_in': 1, 'services': {'two': two}},
            },
        }
    )
