package dispatchwire_test

import (
	"reflect"
	"testing"
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/wire/dispatchwire"
)

func samples(now time.Time) []any {
	id := model.RequestID{Instance: "i1", Incarnation: 2, Seq: 3}
	d := model.Descriptor{
		ID: id, Pool: "notes", Team: "studio", Tier: model.Standard, Arrived: now.Add(-time.Second),
		Deadline: now.Add(time.Minute), PromptTokens: 10, OutputTokens: 20, Prefix: []uint64{1, 2},
		Adapter: "a", Key: model.HashKey("studio", "k"),
	}
	g := model.Grant{Request: id, Pool: "notes", Server: "e1", Incarnation: 4, Epoch: 5}
	return []any{
		port.RegisterMessage{Descriptor: d},
		port.WithdrawMessage{Pool: "notes", Request: id},
		port.DemandMessage{Pool: "notes", Requests: [model.TierCount]int{1, 2, 3, 4}},
		port.ReportMessage{Progress: model.Progress{
			Request: id, Pool: "notes", Server: "e1", Epoch: 5, Kind: model.ProgressFailed,
			FirstToken: time.Second, PerToken: time.Millisecond, Tokens: 7, PrefillTokens: 8,
		}},
		port.StateMessage{State: port.EntryState{
			Pool: "notes", Epoch: 5, Sequence: 6, Waiting: []model.Descriptor{d}, Outstanding: []port.Outstanding{{Grant: g, Descriptor: d}},
		}},
		port.ServerReportMessage{Report: port.ServerReport{
			Pools: []model.PoolID{"notes"},
			Load:  &model.LoadReport{Server: "e1", Incarnation: 4, At: now.Add(-time.Second), Running: 1, CacheUsed: 0.5, Adapters: []string{"a"}},
			Cache: []model.CacheEvent{{Server: "e1", Incarnation: 4, Seq: 9, Evicted: true, Prefix: 1, Tokens: 64}},
		}},
		port.EventMessage{Event: port.DispatchEvent{
			Kind: port.DispatchGranted, Sequence: 6, Grant: g, ID: id, Pool: "notes", Epoch: 5, Tier: model.Batch, Deadline: now.Add(time.Minute),
		}},
		port.StateRequest{Pool: "notes", Epoch: 5, Sequence: 6, Compare: true, Digest: 7},
	}
}

// Guards against fields that are lost in transit, and against deadlines that depend on the
// sender's wall clock.
func TestMessagesSurviveAClockDifference(t *testing.T) {
	sender := time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	receiver := sender.Add(-7 * time.Hour)
	want := samples(receiver)
	for i, m := range samples(sender) {
		data, err := dispatchwire.Codec{Now: func() time.Time { return sender }}.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := dispatchwire.Codec{Now: func() time.Time { return receiver }}.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("got  %+v\nwant %+v", got, want[i])
		}
	}
}

// Guards against input from the network that crashes the decoder, or that is accepted but cannot
// be encoded again.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1000, 0)
	c := dispatchwire.Codec{Now: func() time.Time { return now }}
	for _, m := range samples(now) {
		data, _ := c.Encode(m)
		f.Add(data)
	}
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := c.Decode(data)
		if err != nil {
			return
		}
		if _, err := c.Encode(m); err != nil {
			t.Fatal(err)
		}
	})
}
