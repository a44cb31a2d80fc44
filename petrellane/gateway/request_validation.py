"""Checks the fields of a client's request against the settings in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT
from petrellane.gateway.client_request import (
    FIRST_GATEWAY_FIELD,
    GATEWAY_COUNT_FIELD,
    METHOD_FIELD,
    PLAN_FIELD,
    InvalidFieldError,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from petrellane.config import Settings
    from petrellane.decisions.types import Customer, Method, Plan
    from petrellane.gateway.attempted_ids import AttemptedIds
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.customers import Customers


def find_method_and_plan(request: ClientRequest, settings: Settings) -> tuple[Method, Plan]:
    """Return the method and the plan that a request names.

    Raises:
        InvalidFieldError: The settings have no such method or plan, or the method takes another
            command or an idempotency key.
    """
    method = settings.methods.get(request.require_field(METHOD_FIELD))
    plan = settings.plans.get(request.require_field(PLAN_FIELD))
    if method is None:
        raise InvalidFieldError(f"{METHOD_FIELD}: no such method")
    if plan is None:
        raise InvalidFieldError(f"{PLAN_FIELD}: no such plan")
    if request.is_query != (method.effect == IDEMPOTENT):
        raise InvalidFieldError(f"{METHOD_FIELD}: its method takes the other command")
    if method.effect == DEDUPLICATED:
        request.require_idempotency_key()
    return method, plan


def check_id(
    request: ClientRequest, method: Method, open_ids: Container[bytes], attempted: AttemptedIds
) -> None:
    """Check that the RPC of a request's id is neither open nor may have run.

    Raises:
        InvalidFieldError: It is open, or has an effect and may have run.
    """
    if request.id in open_ids:
        raise InvalidFieldError("id: its RPC is open")
    if method.effect != IDEMPOTENT and request.id in attempted:
        raise InvalidFieldError("id: its RPC may have run")


def find_customer(
    request: ClientRequest, plan: Plan, customers: Customers, gateways: int, now: float
) -> Customer:
    """Return the customer that a request names.

    Args:
        request: The request.
        plan: The plan that it names.
        customers: The known customers.
        gateways: The number of gateways of the site.
        now: The current time, in Unix seconds.

    Raises:
        InvalidFieldError: The number of the first gateway, or that of its gateways, is not valid.
    """
    first_gateway = request.integer_field(FIRST_GATEWAY_FIELD, 0, 0, gateways - 1)
    gateway_count = request.integer_field(GATEWAY_COUNT_FIELD, 1, 1, gateways)
    name = request.customer.decode()
    return customers.get_or_create(name, plan, first_gateway, gateway_count, now)
