"""Configures loguru: plain text, or one JSON object per line."""

import sys

from loguru import logger

TEXT_FORMAT = '{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}'


def configure_logs(level: str, log_format: str) -> None:
    """Send logs of a level to standard error; the format is text or json."""
    logger.remove()
    if log_format == 'json':
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
