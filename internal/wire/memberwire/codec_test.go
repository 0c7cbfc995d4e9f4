package memberwire_test

import (
	"reflect"
	"testing"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
	"briaryard/internal/wire/memberwire"
)

var version = member.Version{ID: "e1", Server: true, Incarnation: 2, Sequence: 3, State: model.Leaving, Home: "i1"}

func samples() []any {
	return []any{
		member.Records{
			Whole: true,
			Instances: []model.Instance{{
				ID: "i1", Incarnation: 1, Sequence: 2, State: model.Leaving, Domain: "d", PeerAddress: "p", CallerAddress: "c",
				ServerAddress: "s", OperatorAddress: "o", Voter: true, Withdrawn: true,
			}},
			Servers: []model.BackendServer{{
				ID: "e1", Incarnation: 1, Sequence: 2, State: model.Suspect, Home: "i1", Address: "a", Domain: "d",
				Kind: model.PlainServer, Pools: []model.PoolID{"p"}, Adapters: []string{"x"}, Slots: 3, Generation: "g", ChecksFencing: true,
				Order: model.AnnouncedOrder{ID: "3/1", State: model.OrderRunning},
			}},
		},
		member.Digest{Buckets: make([]uint64, member.BucketCount)},
		member.Versions{Buckets: []uint32{1}, Records: []member.Version{version}},
		member.Want{Records: []member.Version{version}, Whole: true},
	}
}

// Guards against fields that are lost in transit.
func TestMessagesKeepTheirFields(t *testing.T) {
	for _, m := range samples() {
		data, err := memberwire.Codec{}.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := (memberwire.Codec{}).Decode(data); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v (%v)\nwant %+v", got, err, m)
		}
	}
}

// Guards against input from the network that crashes the decoder.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		data, _ := memberwire.Codec{}.Encode(m)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := (memberwire.Codec{}).Decode(data); err == nil {
			if _, err := (memberwire.Codec{}).Encode(m); err != nil {
				t.Fatal(err)
			}
		}
	})
}
