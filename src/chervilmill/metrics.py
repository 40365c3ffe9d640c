"""Define the metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from chervilmill.reasons import DropReason, RefusalReason, RetryReason

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
# The bounds of operators, 2.5 s on the sites known, lie amid these.
COPY_AGE_BUCKETS_S = (0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 5, 10)
DRAIN_BUCKETS_S = (0.1, 0.5, 1, 2, 3, 5, 10, 30, 60, 300, 1800)


class Metrics:
    """The metrics of one node, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = Counter(
            "chervilmill_refusals",
            "Requests refused, by service and reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self.retries = Counter(
            "chervilmill_retries",
            "Requests sent to a further target, by service and reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self.relays = Counter(
            "chervilmill_relays",
            "Requests sent to a peer that reaches targets, by service and how the exchange ended",
            ["service", "end"],
            registry=self.registry,
        )
        self.dropped_answers = Counter(
            "chervilmill_dropped_answers",
            "Answers of targets that were not given to a caller whole, by service and reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self.allowances = Counter(
            "chervilmill_allowances",
            "Requests decided by allowances, and messages about them, by event",
            ["event"],
            registry=self.registry,
        )
        self.steering_refusals = Counter(
            "chervilmill_steering_refusals",
            "Intents, plans and confirms refused, by step and reason",
            ["step", "reason"],
            registry=self.registry,
        )
        self.shift_waits = Counter(
            "chervilmill_shift_waits",
            "Decisions of the executor not to advance a shift, by service and reason",
            ["service", "reason"],
            registry=self.registry,
        )
        self.lookups = Counter(
            "chervilmill_lookups",
            "Look-ups answered, by service",
            ["service"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "chervilmill_request_seconds",
            "Time from a request's headers to the end of its answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.first_part = Histogram(
            "chervilmill_first_part_seconds",
            "Time from a request's headers to the first part of its answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.drain = Histogram(
            "chervilmill_drain_seconds",
            "Time from the first sign of leaving to the last answer in flight",
            ["peer_kind"],
            buckets=DRAIN_BUCKETS_S,
            registry=self.registry,
        )
        self.node_refusals = Counter(
            "chervilmill_node_refusals",
            "Links to other entry VMs and messages on them that were refused, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.nodes_present = Gauge(
            "chervilmill_nodes_present",
            "Entry VMs that are not dead, as this node knows them",
            registry=self.registry,
        )
        self.configuration_age = Gauge(
            "chervilmill_configuration_age_seconds",
            "Time since the store last confirmed the configuration in force here",
            registry=self.registry,
        )
        self.copy_age = Gauge(
            "chervilmill_copy_age_seconds",
            "Time since a linearizable read last confirmed the copy of a kind of object",
            ["kind"],
            registry=self.registry,
        )
        self.copy_age_at_send = Histogram(
            "chervilmill_copy_age_at_send_seconds",
            "Age of the oldest copy of the store's objects when a request was written to a target",
            buckets=COPY_AGE_BUCKETS_S,
            registry=self.registry,
        )
        self.loop_lateness = Histogram(
            "chervilmill_loop_late_seconds",
            "How late the event loop ran a tick that is due every 0.1 s",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.headroom = Gauge(
            "chervilmill_headroom_ratio",
            "Unused part of a failure domain's capacity, by service",
            ["service", "failure_domain"],
            registry=self.registry,
        )
        self.headroom_after_loss = Gauge(
            "chervilmill_headroom_after_loss_ratio",
            "Unused part of the fullest place after the worst loss, by service and what is lost",
            ["service", "lost"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "chervilmill_in_flight", "Requests in flight at this node", registry=self.registry
        )
        self.caller_limits = Counter(
            "chervilmill_caller_limits",
            "Callers refused or cut off, by the limit that was reached",
            ["limit"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "chervilmill_task_failures",
            "Background tasks of an entry VM that met an unforeseen error and were started anew",
            ["task"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "chervilmill_held_bytes",
            "Bytes held for all callers: input, unsent output, bodies kept to be sent again",
            registry=self.registry,
        )

    def count_refusal(self, service: str, reason: RefusalReason) -> None:
        """Count one refused request."""
        self.refusals.labels(service, reason.value).inc()

    def count_steering_refusal(self, step: str, reason: str) -> None:
        """Count one refused intent, plan or confirm."""
        self.steering_refusals.labels(step, reason).inc()

    def count_shift_wait(self, service: str, reason: str) -> None:
        """Count one decision not to advance a shift."""
        self.shift_waits.labels(service, reason).inc()

    def count_retry(self, service: str, reason: RetryReason) -> None:
        """Count one request sent to a further target."""
        self.retries.labels(service, reason.value).inc()

    def count_dropped(self, service: str, reason: DropReason) -> None:
        """Count one answer that was dropped or cut short."""
        self.dropped_answers.labels(service, reason.value).inc()
