package peers

import (
	metrics "github.com/rcrowley/go-metrics"

	"briaryard/internal/metric"
)

// traffic counts what the messages of one service put on the connections.
type traffic struct {
	bytes    metrics.Counter
	messages metrics.Counter
}

func newTraffic(set *metric.Set, service string) traffic {
	return traffic{bytes: set.Counter(metric.PeerSentBytes, service), messages: set.Counter(metric.PeerSentMessages, service)}
}

func (t traffic) add(bytes int) {
	t.bytes.Inc(int64(bytes))
	t.messages.Inc(1)
}
