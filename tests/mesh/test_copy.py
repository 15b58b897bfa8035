"""A crier's copy of the configuration."""
from __future__ import annotations

from crier.copy import PIECE, Copy
from guild.messages import Item
from porter.routes import Routes
from weighhouse.book import Book

from .stage import Stage


def test_a_crier_that_was_started_anew_tells_of_what_was_dropped_before() -> None:
    # All criers died right after a route was dropped; porters served it for ever (trouble-2, CONFIG).
    porter = Routes()
    porter.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    book = Book()
    book.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    book.apply([Item("route", "b", 3, 3, None)], 3)
    crier = Copy()
    crier.take(book.since(0), book.seq)
    items, seq = crier.piece(porter.seq)
    porter.apply(items, seq)
    assert porter.match(b"h.example", b"/b/x") is None and porter.match(b"h.example", b"/a/x") is not None


def test_pieces_add_up_to_the_whole() -> None:
    crier, porter = Copy(), Routes()
    crier.take([Stage.route(f"route{i}", "read_only", i + 1) for i in range(350)], 350)
    pieces = 0
    while porter.seq < crier.seq:
        items, seq = crier.piece(porter.seq)
        assert sum(len(i.body or b"") for i in items) <= PIECE
        porter.apply(items, seq)
        pieces += 1
    assert pieces > 5 and all(porter.match(b"h.example", f"/route{i}/".encode()) for i in range(350))
