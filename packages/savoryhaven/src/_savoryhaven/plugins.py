"""Loads plug-ins."""

import importlib
import typing

import pluggy

from _savoryhaven import errors
from _savoryhaven import hooks


def load_plugins(
    names: typing.Iterable[str] = (), *, built_in: object = None
) -> pluggy.PluginManager:
    """Return a manager with the built-in plug-ins and the named modules.

    Raises ``SettingsError`` ``SH104`` for a module that can't be loaded.
    """
    manager = pluggy.PluginManager(hooks.NAMESPACE)
    manager.add_hookspecs(hooks)
    if built_in is not None:
        manager.register(built_in, name='built-in')
    for name in names:
        try:
            manager.register(importlib.import_module(name), name=name)
        except (ImportError, ValueError) as exc:
            raise errors.SettingsError(
                errors.Problem(
                    code='SH104',
                    message=f'{name} cannot be loaded: {exc}',
                    path='$.plugins',
                    hint='is the module installed?',
                )
            ) from exc
    manager.check_pending()
    return manager
