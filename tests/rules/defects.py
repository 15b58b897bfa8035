"""Planted defects of the rules: each takes one mechanism away. Patches of tests; they stand nowhere in the product."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from msgspec.structs import replace

from lilacsill.http1 import message as http_message
from lilacsill.http1.message import Message, Reader
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.proxy import (
    backend_connection,
    backend_lifecycle,
    client_connection,
    forwarder,
    graceful_shutdown,
    request_head,
    request_permits,
    tenant_check,
)
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.proxy.admission import AdmissionController
from lilacsill.mesh.proxy.backend_connection import BackendConnection
from lilacsill.mesh.proxy.backend_lifecycle import BackendHeartbeat, BackendLifecycle
from lilacsill.mesh.proxy.backend_request import BackendRequest
from lilacsill.mesh.proxy.client_connection import ClientConnection
from lilacsill.mesh.proxy.client_response import ClientResponse
from lilacsill.mesh.proxy.client_listener import ClientListener
from lilacsill.mesh.proxy.endpoint_table import EndpointLoad
from lilacsill.mesh.proxy.exchange_links import LinkExchange
from lilacsill.mesh.proxy.forwarded_request import ForwardedRequest
from lilacsill.mesh.proxy.graceful_shutdown import GracefulShutdown
from lilacsill.mesh.proxy.offer_server import OfferLink
from lilacsill.mesh.proxy.request_body import RequestBody
from lilacsill.mesh.proxy.request_offer import OfferTemplate
from lilacsill.mesh.proxy.request_permits import LocalResponse, PendingPermits
from lilacsill.mesh.proxy.reasons import RejectionReason
from lilacsill.mesh.proxy.retry_budget import RetryBudget
from lilacsill.mesh.proxy.routes import Route
from lilacsill.mesh.proxy.served_shares import ServedShares
from lilacsill.mesh.proxy.shutdown_sequence import ShutdownSequence
from lilacsill.mesh.proxy.traffic_split import TrafficSplit
from lilacsill.mesh.registry.poll_server import PollServer
from lilacsill.mesh.runtime.freshness import FreshnessTracker
from lilacsill.mesh.runtime.link import Link
from lilacsill.mesh.runtime.messages import Item, Offer
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.store.failure_detector import FailureDetector
from lilacsill.mesh.tenants.tenant import Tenant

Patch = pytest.MonkeyPatch
MOMENT_US = 100_000

# UNASKED


def a_caller_may_say_who_it_is(patch: Patch) -> None:
    patch.setattr(request_head, "REPLACED_HEADERS", frozenset())


def a_connection_with_the_rest_of_a_body_due_is_used_again(patch: Patch) -> None:
    patch.setattr(BackendConnection, "can_be_reused", property(lambda self: self.open and self.reusable))


def any_key_is_a_tenants(patch: Patch) -> None:
    real = tenant_check.check_tenant

    def check(*arguments: Any) -> Tenant | None:
        tenant = real(*arguments)
        return None if isinstance(tenant, tenant_check.KeyRefusal) else tenant

    patch.setattr(forwarder, "check_tenant", check)


def keys_are_checked_when_their_connection_begins(patch: Patch) -> None:
    first: dict[bytes, Tenant | tenant_check.KeyRefusal | None] = {}
    real = tenant_check.check_tenant

    def check(config: ActiveConfig, route: Route, request: Message, is_current: Callable[[], bool]) -> Any:
        key = request.fields.get(b"credential", b"")
        return first.setdefault(key, real(config, route, request, is_current))

    patch.setattr(forwarder, "check_tenant", check)


def tenants_are_taken_as_complete(patch: Patch) -> None:
    real = tenant_check.check_tenant

    def check(config: ActiveConfig, route: Route, request: Message, is_current: Callable[[], bool]) -> Any:
        return real(config, route, request, lambda: True)

    patch.setattr(forwarder, "check_tenant", check)


# QUOTA


def limited_tenants_ask_nobody(patch: Patch) -> None:
    patch.setattr(Tenant, "is_limited", property(lambda self: False))


def requests_wait_for_permits_as_long_as_their_clients(patch: Patch) -> None:
    patch.setattr(request_permits, "PERMIT_WAIT_SHARE", 2.0)


def a_token_that_is_waited_for_is_taken_though_the_client_left(patch: Patch) -> None:
    patch.setattr(PendingPermits, "cancel", lambda self: None)


# TWICE


def operations_are_not_claimed(patch: Patch) -> None:
    patch.setattr(PendingPermits, "_request_operation", lambda self: self._permit(None))


def a_client_that_leaves_ends_its_operation(patch: Patch) -> None:
    patch.setattr(ClientResponse, "drop_client", lambda self: None)
    patch.setattr(LinkExchange, "resume", LinkExchange.cancel)


def repeats_keep_the_first_attempt_id(patch: Patch) -> None:
    patch.setattr(
        request_permits,
        "replay",
        lambda response, attempt_id: LocalResponse(response.status, response.headers, response.body),
    )


def what_may_have_run_is_released(patch: Patch) -> None:
    patch.setattr(OperationRun, "record_unknown", OperationRun.release)


# GONE


def the_end_of_a_client_cancels_nothing(patch: Patch) -> None:
    patch.setattr(ClientConnection, "on_end", lambda self: self._owner.connection_ended(self))


def a_cancelled_exchange_keeps_its_link(patch: Patch) -> None:
    def cancel(self: LinkExchange) -> None:
        self._listener = None

    patch.setattr(LinkExchange, "cancel", cancel)


def the_end_of_a_link_cancels_nothing_at_the_backend(patch: Patch) -> None:
    def on_link_closed(self: OfferLink, link: Link) -> None:
        self._request = None
        self._on_closed(self)

    patch.setattr(OfferLink, "_on_link_closed", on_link_closed)


def a_cancelled_request_stays_in_the_queue(patch: Patch) -> None:
    patch.setattr(AdmissionController, "withdraw", lambda self, request: False)


def a_connection_with_many_requests_is_not_read(patch: Patch) -> None:
    patch.setattr(client_connection, "MAX_PIPELINED", client_connection.MAX_IN_FLIGHT)


def a_cancelled_request_is_tried_again(patch: Patch) -> None:
    def cancel(self: ForwardedRequest) -> None:
        """Only the end of the attempt is awaited."""

    patch.setattr(ForwardedRequest, "cancel", cancel)


def connects_of_cancelled_offers_go_on(patch: Patch) -> None:
    patch.setattr(LinkExchange, "is_awaited", True)


# LOST


def the_break_off_comes_at_a_fixed_time(patch: Patch) -> None:
    patch.setattr(graceful_shutdown, "KILL_MARGIN_SHARE", 1.0)


def connections_are_idle_while_a_request_is_in_flight(patch: Patch) -> None:
    patch.setattr(ClientConnection, "is_idle", property(lambda self: True))


def a_leaving_proxy_says_that_it_is_ready(patch: Patch) -> None:
    patch.setattr(ShutdownSequence, "is_started", property(lambda self: False))


def a_leaving_proxy_keeps_its_connections(patch: Patch) -> None:
    patch.setattr(ClientListener, "start_draining", lambda self: None)


def late_requests_are_taken(patch: Patch) -> None:
    patch.setattr(GracefulShutdown, "can_finish", lambda self, now, time_left_us: True)


def a_suspected_read_is_given_up(patch: Patch) -> None:
    patch.setattr(BackendRequest, "suspect", BackendRequest.on_failed)


def a_connection_closes_behind_a_head_that_did_not_say_so(patch: Patch) -> None:
    def start_draining(self: ClientConnection) -> None:
        self._is_closing = self._is_closing or bool(self._responses)

    patch.setattr(ClientConnection, "start_draining", start_draining)


def a_leaving_proxy_forgets_unsent_bytes(patch: Patch) -> None:
    patch.setattr(ClientListener, "has_unsent", property(lambda self: False))


# Shares


def services_are_drawn_independently(patch: Patch) -> None:
    def choose(self: TrafficSplit, rng: Random) -> str:
        return rng.choices(self.services, cum_weights=self._bounds)[0]

    patch.setattr(TrafficSplit, "choose", choose)


def all_proxies_begin_with_the_same_part(patch: Patch) -> None:
    def choose(self: TrafficSplit, rng: Random) -> str:
        return real(self, Random(0))

    real = TrafficSplit.choose
    patch.setattr(TrafficSplit, "choose", choose)


def every_attempt_draws_its_part(patch: Patch) -> None:
    def start_attempt(self: ForwardedRequest) -> None:
        self._service = self._route.split.choose(self._owner.rng)
        self._table = self._current.table = self._owner.upstreams.table(self._service)
        real(self)

    real = ForwardedRequest._start_attempt
    patch.setattr(ForwardedRequest, "_start_attempt", start_attempt)


# DRAIN


def a_backend_that_drains_takes_requests(patch: Patch) -> None:
    def rejection_reason(
        self: BackendLifecycle, server: str, now: int, admitted: bool = False
    ) -> RejectionReason | None:
        return None if server == self.server else RejectionReason.WRONG_INCARNATION

    patch.setattr(BackendLifecycle, "rejection_reason", rejection_reason)


def whoever_is_at_an_address_takes_requests(patch: Patch) -> None:
    patch.setattr(BackendLifecycle, "rejection_reason", lambda self, server, now, admitted=False: None)


def a_replaced_backend_never_returns(patch: Patch) -> None:
    patch.setattr(backend_lifecycle, "RETURN_AFTER_HEARTBEATS", 1 << 30)


def any_heartbeat_takes_the_place(patch: Patch) -> None:
    patch.setattr(BackendLifecycle, "_may_take_over", lambda self, heartbeat: True)


def heartbeats_that_were_overtaken_count(patch: Patch) -> None:
    def may_take_over(self: BackendLifecycle, heartbeat: BackendHeartbeat) -> bool:
        replaced = self._replaced.get(heartbeat.server)
        if replaced is not None:
            replaced.sequence = -1
        return real(self, heartbeat)

    real = BackendLifecycle._may_take_over
    patch.setattr(BackendLifecycle, "_may_take_over", may_take_over)


def a_backend_that_has_ended_may_return(patch: Patch) -> None:
    def on_stopped(self: BackendLifecycle, server: str, now: int) -> bool:
        changed = real(self, server, now)
        self.ended_incarnations.clear()
        return changed

    real = BackendLifecycle.on_stopped
    patch.setattr(BackendLifecycle, "on_stopped", on_stopped)


def a_health_check_counts_for_ever(patch: Patch) -> None:
    patch.setattr(BackendLifecycle, "expire_health_check", lambda self, now: False)


# DENIED


def heads_have_a_limit_of_our_own(patch: Patch) -> None:
    def on_data(self: ClientConnection, data: bytes) -> None:
        self._reader._next_head_limit = http_message.MAX_HEAD_BYTES
        real(self, data)

    real = ClientConnection.on_data
    patch.setattr(ClientConnection, "on_data", on_data)


def a_connection_keeps_its_first_limits(patch: Patch) -> None:
    patch.setattr(ClientConnection, "_apply_limits", lambda self: None)


def lowered_limits_end_a_request_that_is_arriving(patch: Patch) -> None:
    def set_limits(self: http_message.Reader, body_limit: int, head_limit: int) -> None:
        real(self, body_limit, head_limit)
        self._body_limit, self._head_limit = body_limit, head_limit

    real = http_message.Reader.set_limits
    patch.setattr(http_message.Reader, "set_limits", set_limits)


def raised_limits_wait_for_the_next_request(patch: Patch) -> None:
    def set_limits(self: http_message.Reader, body_limit: int, head_limit: int) -> None:
        self._next_body_limit, self._next_head_limit = body_limit, head_limit

    patch.setattr(http_message.Reader, "set_limits", set_limits)


# BUDGET


def the_budget_is_never_spent(patch: Patch) -> None:
    patch.setattr(RetryBudget, "try_spend", lambda self, now, proxy_count: True)


def every_attempt_has_all_of_the_time(patch: Patch) -> None:
    def offer_to(
        self: OfferTemplate, entry: EndpointLoad, service: str, body: RequestBody, may_have_run: bool, now: int
    ) -> Offer:
        offer = real(self, entry, service, body, may_have_run, now)
        return replace(offer, time_left_ms=self._route.timeout_us // 1000)

    real = OfferTemplate.offer_to
    patch.setattr(OfferTemplate, "offer_to", offer_to)


# CONFIG


def registries_reply_when_the_wait_is_over(patch: Patch) -> None:
    patch.setattr(PollServer, "_is_outdated", lambda self, request: False)


def the_last_item_that_comes_is_in_force(patch: Patch) -> None:
    def apply(self: ActiveConfig, items: list[Item], seq: int) -> None:
        self._versions.clear()
        real(self, items, seq)

    real = ActiveConfig.apply
    patch.setattr(ActiveConfig, "apply", apply)


def a_proof_counts_for_a_moment(patch: Patch) -> None:
    def is_current(self: FreshnessTracker, now: int) -> bool:
        self._max_age_us = min(self._max_age_us, MOMENT_US)
        return real(self, now)

    real = FreshnessTracker.is_current
    patch.setattr(FreshnessTracker, "is_current", is_current)


# Duties and acknowledgements


def requests_wait_whatever_their_target(patch: Patch) -> None:
    patch.setattr(AdmissionController, "_expected_wait_us", lambda self, request: 0.0)


def nobody_is_suspected(patch: Patch) -> None:
    patch.setattr(FailureDetector, "is_alive", lambda self, member: True)


# Starved


def no_route_is_starved(patch: Patch) -> None:
    patch.setattr(ServedShares, "is_starved", lambda self, route: False)


# Threads


def saves_are_reported_by_the_thread_of_the_disk(patch: Patch) -> None:
    def call_from_thread(self: Reactor, call: Callable[..., None], *arguments: object) -> None:
        call(*arguments)

    patch.setattr(Reactor, "call_from_thread", call_from_thread)


# MIXED


def any_answer_is_the_answer(patch: Patch) -> None:
    patch.setattr(backend_connection, "_is_response_to", lambda handler, response: True)


def answers_need_no_seal(patch: Patch) -> None:
    patch.setattr(BackendRequest, "_failure_reason", lambda self, response: None)


def a_reset_ends_an_answer_as_a_close_does(patch: Patch) -> None:
    def eof_received(self: BackendConnection) -> None:
        if self.stream is not None:
            self.stream.reset = False
        real(self)

    real = BackendConnection.eof_received
    patch.setattr(BackendConnection, "eof_received", eof_received)


def answers_without_a_length_are_refused(patch: Patch) -> None:
    def close(self: Reader) -> Message | None:
        return None

    patch.setattr(Reader, "close", close)


def any_three_digits_are_a_status(patch: Patch) -> None:
    patch.setattr(http_message, "VALID_STATUSES", range(1000))
