"""Configures loguru: plain text, or one JSON object per line."""

import sys

from loguru import logger

from _savoryhaven.tracking import settings

TEXT_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}'


def configure_logs(log: settings.LogSettings) -> None:
    """Send logs to standard error, in the format of the settings."""
    logger.remove()
    if log.format == 'json':
        logger.add(sys.stderr, level=log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=log.level, format=TEXT_FORMAT)
