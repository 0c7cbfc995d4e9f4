package peers

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/wire/peerpb"
)

// Guards against frames from the network that crash the reader, exceed the limit, or change
// when they are encoded again.
func FuzzReadFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		{Acknowledged: 7},
		{Hello: &peerpb.Hello{Version: 1, Instance: "a", Incarnation: 3}},
		{Message: &peerpb.Message{Id: 1, Service: "s", Body: []byte("body")}},
	} {
		seed, _ := appendFrame(nil, frame)
		f.Add(seed)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{5, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bufio.NewReader(bytes.NewReader(data)), maxHandshakeFrame)
		if err != nil {
			return
		}
		again, err := appendFrame(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		back, err := readFrame(bufio.NewReader(bytes.NewReader(again)), 2*maxHandshakeFrame)
		if err != nil || !proto.Equal(frame, back) {
			t.Fatalf("frame changed: %v", err)
		}
	})
}
