"""Builds a keeper from its settings; part of the composition root."""

from amaranthring import settings as settings_module
from amaranthring.keepers import fleet_service
from amaranthring.keepers import reconciler
from amaranthring.keepers import server
from amaranthring.keepers import state_machine

SECONDS_PER_HOUR = 3600.0


def make(
    settings: settings_module.Settings,
) -> tuple[server.Keeper, fleet_service.FleetService]:
    """Return a keeper and its service for the fleet state.

    Raises
    ------
    errors.SettingsError
        If the initial configuration file is not valid.
    """
    section = settings.keeper
    machine = state_machine.StateMachine(
        section.claim_hours * SECONDS_PER_HOUR, section.answer_bytes_most
    )
    keeper = server.Keeper(settings, machine)
    service = fleet_service.FleetService(
        keeper.group,
        machine,
        keeper.handlers,
        section.initial_file,
        reconciler.Options(
            debounce_seconds=section.order_patience_seconds,
            order_seconds=section.order_seconds,
            discovery_seconds=section.order_listen_seconds,
            loads_at_once=section.loads_at_once,
            loads_per_minute=section.loads_per_minute,
        ),
    )
    return keeper, service
