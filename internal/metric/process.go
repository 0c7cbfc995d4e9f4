package metric

// Metrics of the process, the configuration, placement, peer connections and the control group.
var (
	RingDepth            = define(KindGauge, "ring_depth", "messages", "ring", "Messages waiting in a ring.")
	RingHighWater        = define(KindGauge, "ring_high_water", "messages", "ring", "Highest number of messages that waited in a ring at the same time.")
	RingRefused          = define(KindCounter, "ring_refused", "messages", "ring", "Messages rejected because the ring was full.")
	LeaseHeld            = define(KindGauge, "lease_held", "leases", "lease", "1 if this instance holds the lease, 0 otherwise.")
	Revision             = define(KindGauge, "config_revision", "revisions", "", "Configuration revision in force at this instance.")
	Accepted             = define(KindGauge, "config_accepted_revision", "revisions", "", "Newest accepted configuration revision that this instance knows.")
	EndedException       = define(KindGauge, "config_exceptions_ended", "exceptions", "", "Exceptions in force whose end date has passed.")
	PlacementOrders      = define(KindCounter, "placement_orders", "orders", "outcome", "Orders to engines, by the outcome of sending them.")
	PlacementOutstanding = define(KindGauge, "placement_outstanding", "orders", "", "Orders not yet settled by an announcement of the engine.")
	PlacementMissing     = define(KindGauge, "placement_missing", "engines", "", "Engines missing for the declared placement; 0 at instances without the placement lease.")
	PeerSentBytes        = define(KindCounter, "peer_sent_bytes", "bytes", "service", "Bytes of the frames sent to other instances, by the receiving service; `peers` counts heartbeats and acknowledgements. Retransmitted messages count again; handshakes and the layers below the frames are not counted.")
	PeerSentMessages     = define(KindCounter, "peer_sent_messages", "messages", "service", "Messages sent to other instances, by the receiving service; `peers` counts heartbeats and acknowledgements. Retransmitted messages count again.")
	ClaimLatency         = define(KindHistogram, "claim_latency", "microseconds", "", "Time from the claim of an idempotency key to the control group's answer.")
	Withdrawn            = define(KindGauge, "withdrawn", "instances", "", "1 if this instance cannot confirm its configuration and refuses new requests, 0 otherwise.")
	Unhealthy            = define(KindGauge, "services_unhealthy", "services", "", "Services of this instance that report a failure.")
	CallerConnections    = define(KindGauge, "caller_connections", "connections", "", "Open connections of callers, operators and servers at the HTTP listeners of this process.")
	HeaderSectionBytes   = define(KindGauge, "header_section_bytes", "bytes", "", "Memory of header sections as parsed, of requests that are read or answered.")
	CallersRefused       = define(KindCounter, "callers_refused", "callers", "reason", "Callers refused by a limit of connections or header sections, and connections closed to make room.")
)
