"""Logging of the service: one JSON object a line, or text for a terminal."""

from __future__ import annotations

import logging
import sys

import structlog


def configure(log_format: str) -> None:
    """Configure all loggers of the process, the standard library's too.

    Args:
        log_format: `json`, or `text` for a terminal.
    """
    shared: list[structlog.types.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer() if log_format == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer], foreign_pre_chain=shared
        )
    )
    logging.basicConfig(handlers=[handler], level=logging.INFO, force=True)
