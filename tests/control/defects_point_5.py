"""Planted defects of point 5: each takes one guard away. Patches of tests; they stand nowhere in the product."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from msgspec.structs import replace

from lilacsill.address import Address
from lilacsill.mesh.proxy.retry_budget import RetryBudget, RetryBudgetSettings
from lilacsill.mesh.proxy.backend_request import BackendRequest
from lilacsill.mesh.proxy.forwarded_request import ForwardedRequest
from lilacsill.mesh.proxy.endpoint_table import EndpointLoad
from lilacsill.mesh.proxy.retry_decision import RetryDecision
from lilacsill.mesh.proxy.admission import AdmissionController, AdmissionRequest
from lilacsill.mesh.proxy.reasons import FailureReason, RejectionReason
from lilacsill.mesh.proxy.exchange_links import ExchangeLinks, LinkExchange
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.runtime import messages
from lilacsill.mesh.runtime.control import ControlConnection
from lilacsill.mesh.runtime.frames import FrameError
from lilacsill.mesh.runtime.incarnation import Incarnation
from lilacsill.mesh.runtime.link import Link
from lilacsill.mesh.runtime.messages import Endpoint, Message, Response, decode
from lilacsill.mesh.runtime.rpc import RpcClient
from lilacsill.mesh.store.followers import Followers, Poll
from lilacsill.mesh.store.forwarding import OUTCOME_UNKNOWN
from lilacsill.mesh.store.frontend import CALL_TIMEOUT_US, Frontend

Patch = pytest.MonkeyPatch


def answers_of_any_exchange_count(patch: Patch) -> None:
    def message(self: LinkExchange, link: Link, number: int, message: Message) -> None:
        real(self, link, self._number, message)

    real = LinkExchange._on_message
    patch.setattr(LinkExchange, "_on_message", message)


def bodies_need_no_head(patch: Patch) -> None:
    patch.setattr(LinkExchange, "_is_expected", lambda self, message: True)


def what_came_with_the_end_of_a_link_is_handled(patch: Patch) -> None:
    def data_received(self: Link, data: bytes) -> None:
        try:
            for number, payload in self._frames.feed(data):
                self.on_message(self, number, decode(payload))
        except FrameError:
            self.close()

    patch.setattr(Link, "data_received", data_received)


def paused_links_are_given_back_paused(patch: Patch) -> None:
    def release(self: ExchangeLinks, address: Address, link: Link) -> None:
        paused = link.stream.paused
        real(self, address, link)
        if paused:
            link.stream.pause()

    real = ExchangeLinks.release
    patch.setattr(ExchangeLinks, "release", release)


def links_to_a_process_that_is_over_are_kept(patch: Patch) -> None:
    patch.setattr(ExchangeLinks, "close_idle", lambda self, address: None)


def the_first_part_of_a_failure_passes_for_all_of_it(patch: Patch) -> None:
    def answered(self: ForwardedRequest, m: Response) -> None:
        if m.status < 500 or m.body_complete:
            return real(self, m)
        self._current.end(m)
        self._respond(m.status, m.headers, m.body)

    real = ForwardedRequest._on_response
    patch.setattr(ForwardedRequest, "_on_response", answered)


def the_rest_of_a_failure_runs_into_the_next_answer(patch: Patch) -> None:
    patch.setattr(LinkExchange, "cancel", lambda self: None)


def a_failure_of_our_own_keeps_the_headers_of_a_backend(patch: Patch) -> None:
    seen: list[tuple[bytes, bytes]] = []

    def answered(self: ForwardedRequest, m: Response) -> None:
        seen[:] = m.headers
        real(self, m)

    def finish(self: ForwardedRequest, status: int, headers: Any, body: bytes) -> None:
        real_finish(self, status, headers or seen, body)

    real, real_finish = ForwardedRequest._on_response, ForwardedRequest._respond
    patch.setattr(ForwardedRequest, "_on_response", answered)
    patch.setattr(ForwardedRequest, "_respond", finish)


def an_answer_that_has_begun_has_no_end(patch: Patch) -> None:
    def answered(self: ForwardedRequest, m: Response) -> None:
        real(self, m)
        if self._response.is_streaming:
            self._timer.cancel()

    real = ForwardedRequest._on_response
    patch.setattr(ForwardedRequest, "_on_response", answered)


def what_was_held_up_is_not_resumed(patch: Patch) -> None:
    patch.setattr(ForwardedRequest, "resume_response", lambda self: None)


def every_503_is_taken_for_a_promise(patch: Patch) -> None:
    patch.setattr(BackendRequest, "_failure_reason", lambda self, response: None)


def a_backend_that_was_not_meant_has_made_no_promise(patch: Patch) -> None:
    patch.setattr(BackendRequest, "_is_not_run", staticmethod(lambda response: b"not-run" in response.fields))


def writes_are_tried_again(patch: Patch) -> None:
    def failed(self: ForwardedRequest, entry: EndpointLoad, reason: str) -> None:
        self._history.record_failed(entry)
        self._start_attempt()

    patch.setattr(ForwardedRequest, "_on_failed_attempt", failed)


def offers_outlive_their_sender(patch: Patch) -> None:
    patch.setattr(BackendRequest, "cancel", lambda self: None)


def a_try_on_a_forgotten_connection_is_free(patch: Patch) -> None:
    def lost(self: BackendRequest, reason: FailureReason) -> None:
        if self._connection is not None and self._connection.idle_us:
            self._connection = None
            return self._gateway.pool.acquire(self.idempotent, self._on_connected, self._on_not_connected)
        real(self, reason)

    real = BackendRequest.on_failed
    patch.setattr(BackendRequest, "on_failed", lost)


def a_route_allows_any_number_of_tries(patch: Patch) -> None:
    patch.setattr(RetryDecision, "may_retry", lambda self, arrivals=None: True)


def the_slack_is_there_at_once(patch: Patch) -> None:
    def begin(self: RetryBudget, settings: RetryBudgetSettings) -> None:
        real(self, replace(settings, slack_from=0))

    real = RetryBudget.__init__
    patch.setattr(RetryBudget, "__init__", begin)


def routes_without_a_usual_time_have_no_room(patch: Patch) -> None:
    def admit(self: AdmissionController, request: AdmissionRequest, now: int) -> RejectionReason | None:
        by_route_ms = self.durations.by_route_ms
        return real(self, request, now) if request.route in by_route_ms or not by_route_ms else RejectionReason.FULL

    real = AdmissionController.admit
    patch.setattr(AdmissionController, "admit", admit)


def a_request_takes_every_reply(patch: Patch) -> None:
    def complete(self: RpcClient, number: int, reply: Message | None) -> None:
        pending = self._pending.get(number)
        if pending is not None:
            self._reactor.call_soon(pending.on_reply, reply)

    patch.setattr(RpcClient, "_complete", complete)


def what_was_sent_on_a_lost_link_is_sent_on_the_next(patch: Patch) -> None:
    sent: dict[int, Message] = {}

    def request(self: RpcClient, message: Message, timeout_us: int, on_reply: Any) -> None:
        sent[self._last_number + 1] = message
        real(self, message, timeout_us, on_reply)

    def on_closed(self: RpcClient, link: Link) -> None:
        self._link = None
        self._unsent += [(number, sent[number]) for number in self._pending]
        self._reactor.call_soon(self._connect)

    real = RpcClient.request
    patch.setattr(RpcClient, "request", request)
    patch.setattr(RpcClient, "_on_closed", on_closed)


def followers_that_were_answered_still_wait(patch: Patch) -> None:
    def on_timeout(self: Followers, poll: Poll) -> None:
        if poll in self._polls:
            self._answer(poll)

    patch.setattr(Followers, "_on_timeout", on_timeout)


def a_call_is_answered_by_time_and_by_the_chain(patch: Patch) -> None:
    def call(self: Frontend, m: messages.Patch, reply: Callable[[Message], None]) -> None:
        self._environment.after(CALL_TIMEOUT_US // 20, reply, OUTCOME_UNKNOWN)
        real(self, m, reply)

    real = Frontend.handle_patch
    patch.setattr(Frontend, "handle_patch", call)


def a_call_under_way_counts_as_rest(patch: Patch) -> None:
    def next_call(self: ControlConnection) -> None:
        real(self)
        if self._handling:
            self._idle_timer = self._server.reactor.after(40_000, self.close)

    real = ControlConnection._handle_next
    patch.setattr(ControlConnection, "_handle_next", next_call)


def nobody_raises_its_incarnation(patch: Patch) -> None:
    patch.setattr(Incarnation, "refute", lambda self, number, version: False)


def a_lower_incarnation_is_dropped_in_silence(patch: Patch) -> None:
    def update(self: Directory, endpoint: Endpoint, now: int, direct: bool = True) -> bool:
        known = self.entries.get(endpoint.node)
        if known is not None and known.endpoint is not None and known.endpoint.incarnation > endpoint.incarnation:
            return False
        return real(self, endpoint, now, direct)

    real = Directory.update
    patch.setattr(Directory, "update", update)


def hearsay_of_a_lower_incarnation_is_believed(patch: Patch) -> None:
    def update(self: Directory, endpoint: Endpoint, now: int, direct: bool = True) -> bool:
        known = self.entries.get(endpoint.node)
        if known is not None and known.endpoint is not None and known.endpoint.incarnation > endpoint.incarnation:
            known.endpoint = None
        return real(self, endpoint, now, direct)

    real = Directory.update
    patch.setattr(Directory, "update", update)
