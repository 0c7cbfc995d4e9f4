package peers

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/fault"
	"briaryard/internal/wire/peerpb"
)

const (
	// maxBody limits the bytes of one message. The largest are batches of the control log with
	// answers of up to 256 KiB each.
	maxBody = 4 << 20
	// maxFrame is maxBody with room for the other fields of a frame.
	maxFrame = maxBody + 4096
	// maxHandshakeFrame limits the bytes of a handshake frame, whose sender is not
	// authenticated yet.
	maxHandshakeFrame = 16 << 10
)

// appendFrame appends a frame, prefixed with its length as an unsigned varint.
func appendFrame(buf []byte, f *peerpb.Frame) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(f)))
	return proto.MarshalOptions{}.MarshalAppend(buf, f)
}

// readFrame reads one length-prefixed frame of at most limit bytes.
func readFrame(r *bufio.Reader, limit int) (*peerpb.Frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > uint64(limit) {
		return nil, &fault.PeerProtocol{Reason: "frame too large"}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	f := new(peerpb.Frame)
	if err := proto.Unmarshal(data, f); err != nil {
		return nil, &fault.PeerProtocol{Reason: err.Error()}
	}
	return f, nil
}
