package peers

import (
	metrics "github.com/rcrowley/go-metrics"

	"briaryard/internal/metric"
)

// traffic counts the bytes and frames that are sent for one service.
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
