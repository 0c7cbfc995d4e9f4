package metric

// Metrics of the process, of the configuration and of the control group.
var (
	RingDepth            = define(KindGauge, "ring_depth", "messages", "ring", "Messages that wait in a ring.")
	RingHighWater        = define(KindGauge, "ring_high_water", "messages", "ring", "Most messages that waited in a ring at once.")
	RingRefused          = define(KindCounter, "ring_refused", "messages", "ring", "Messages that a full ring refused.")
	LeaseHeld            = define(KindGauge, "lease_held", "leases", "lease", "1 if this instance holds the lease, 0 if it does not.")
	Revision             = define(KindGauge, "config_revision", "revisions", "", "Configuration revision in force at this instance.")
	Accepted             = define(KindGauge, "config_accepted_revision", "revisions", "", "Newest accepted configuration revision that this instance knows.")
	EndedException       = define(KindGauge, "config_exceptions_ended", "exceptions", "", "Exceptions in force whose end date has passed.")
	PlacementOrders      = define(KindCounter, "placement_orders", "orders", "outcome", "Orders to engines by what became of sending them.")
	PlacementOutstanding = define(KindGauge, "placement_outstanding", "orders", "", "Orders that the engines' announcements have not settled yet.")
	PlacementMissing     = define(KindGauge, "placement_missing", "engines", "", "Engines that are missing for the declared placement; 0 at instances without the placement lease.")
	PeerSentBytes        = define(KindCounter, "peer_sent_bytes", "bytes", "service", "Bytes of the frames sent to other instances, by the service that the message is for; `peers` counts heartbeats and acknowledgements. Messages sent again count again; handshakes and the layers below the frames are left out.")
	PeerSentMessages     = define(KindCounter, "peer_sent_messages", "messages", "service", "Messages sent to other instances, by the service that they are for; `peers` counts heartbeats and acknowledgements. Messages sent again count again.")
	ClaimLatency         = define(KindHistogram, "claim_latency", "microseconds", "", "Time from the claim of an idempotency key to the control group's answer.")
	Withdrawn            = define(KindGauge, "withdrawn", "instances", "", "1 if this instance cannot confirm its configuration and refuses new requests, 0 if not.")
	Unhealthy            = define(KindGauge, "services_unhealthy", "services", "", "Services of this instance that report a failure.")
)
