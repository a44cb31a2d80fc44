"""Steps that start a gateway and change its configuration."""

import json
import tempfile

from petrellane import config
from petrellane.config import ConfigError
from petrellane.gateway.process import GatewayProcess
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from tests.integration.gateway.check_steps import CheckSteps
from tests.integration.gateway.configuration import (
    BASE_CONFIG,
    endpoint_row,
    unescape,
    with_changes,
)
from tests.integration.gateway.harness import BACKLOG, FULL_LISTENER
from tests.integration.gateway.peer_steps import PeerSteps
from tests.integration.gateway.sockets import OrderedPoll

DEFAULT_ENDPOINTS = ("a", "b")


class SetupSteps(PeerSteps, CheckSteps):
    """Starts the gateway under test, and reloads its configuration."""

    def do_config(self, *words: str) -> None:
        """Use the base configuration with these changes."""
        self.config = with_changes(BASE_CONFIG, list(words))

    def do_config_rejected(self, *words: str) -> None:
        """Check that the configuration is rejected, with a one-line error that contains a text."""
        try:
            config.parse_config(self.config)
        except ConfigError as error:
            assert " ".join(words) in str(error), error
            assert "\n" not in str(error), error
            return
        raise AssertionError("the configuration was accepted, expected an error")

    def do_limits(self, *words: str) -> None:
        """Override limits; the step comes before `world`."""
        options = dict(word.split("=") for word in words)
        self.limits = {
            name: float(value) if "." in value else int(value) for name, value in options.items()
        }

    def do_world(self, *words: str) -> None:
        """Start a gateway with these endpoints and configuration changes."""
        endpoints = [word for word in words if "=" not in word] or DEFAULT_ENDPOINTS
        self.config = with_changes(BASE_CONFIG, [word for word in words if "=" in word])
        self.config["counter"] = self.listen("counter")
        self.config["discovery"] = self.listen("discovery")
        self.config["known"]["endpoints"] = [
            endpoint_row(name, self.listen(name, 0 if name == FULL_LISTENER else BACKLOG))
            for name in endpoints
        ]
        self.config["seed"] = f"{self.seed:x}"
        self._start_gateway()
        self.until("a watch", lambda: self.pending_watch)

    def _start_gateway(self) -> None:
        parsed = config.parse_config(self.config)
        limits = Limits(**{**vars(Limits.from_config(parsed)), **self.limits})
        scheduler = Scheduler(lambda: self.now)
        self.gateway = GatewayProcess(parsed, self.log.fileno(), limits, scheduler)
        self.is_started = True
        scheduler.poll = OrderedPoll(scheduler.poll)
        self.gateway.start()
        self.gateway.endpoint_pools.on_attempt_ended = self.on_attempt_ended
        self.gateway.executor.counter_client.on_reply = self.on_counter_reply
        self.address = self.gateway.client_listener.listener.getsockname()

    def do_settings(self, *words: str) -> None:
        """Change the settings in the configuration file and send SIGHUP."""
        self.config = with_changes(self.config, list(words))
        self.gateway.reload(lambda before: config.parse_config(self.config, None, before))

    def do_reload_invalid(self, word: str) -> None:
        """Send SIGHUP with an invalid configuration."""
        invalid = with_changes(self.config, [word])
        self.gateway.reload(lambda before: config.parse_config(invalid, None, before))

    def do_rejected_reloads(self, number: str, *texts: str) -> None:
        """Check the number of rejected reloads, and that each text is in one of their log lines."""
        lines = self.log_lines("reload_rejected")
        assert len(lines) == int(number), lines
        for text in texts:
            expected = unescape(text).decode()
            assert any(expected in line for line in lines), (text, lines)

    def do_change_addresses(self, *names: str) -> None:
        """Send SIGHUP with new addresses of these peers; their old listeners are closed."""
        for name in names:
            if name in self.listeners:  # the peer may be down
                self.listeners.pop(name).close()
            self.rename_old(name)
            if name == "discovery":
                self.pending_watch = None
            self.config[name] = self.listen(name)
        environment = {"PROXY_DISCOVERY": "127.0.0.1:1"}
        self.gateway.reload(lambda before: config.parse_config(self.config, environment, before))

    def do_reload_file(self, event: str) -> None:
        """Send SIGHUP with the configuration in a file, and check the event that is logged."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.config, file)
            file.flush()
            if event == "reload_rejected":
                self.do_limit_descriptors()
            environment = {"PROXY_CONFIG": file.name}
            self.gateway.reload(lambda before: config.load(environment, before))
            self.do_restore_descriptors()
        self.do_logged(event)

    def do_term(self) -> None:
        """Send SIGTERM."""
        self.gateway.scheduler.running = True
        self.gateway.end()

    def do_ended(self) -> None:
        """Check that the gateway has ended."""
        self.until("the end", lambda: not self.gateway.scheduler.running)
