package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one Append writes and syncs, and the format of a snapshot file:
//
//	magic  uint32
//	length uint32  of the payload
//	number uint64  previous frame's number plus one; in a snapshot its index
//	check  uint32  CRC32C over length, number and payload
//	payload
const (
	frameMagic      = 0x42795931
	frameHeaderSize = 20
	// maxPayload, in bytes, limits how much data a damaged length field makes the reader process.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buf []byte, number uint64, payload []byte) []byte {
	header := encodeFrameHeader(number, payload)
	return append(append(buf, header[:]...), payload...)
}

func encodeFrameHeader(number uint64, payload []byte) (header [frameHeaderSize]byte) {
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], number)
	binary.LittleEndian.PutUint32(header[16:], checksum(header[4:16], payload))
	return header
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// parseFrame decodes the frame at the start of data. ok is false if the frame is incomplete or
// its checksum does not match.
func parseFrame(data []byte) (number uint64, payload []byte, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxPayload || length > len(data)-frameHeaderSize {
		return 0, nil, false
	}
	payload = data[frameHeaderSize : frameHeaderSize+length]
	if checksum(data[4:16], payload) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), payload, true
}

// hasLaterFrame reports whether data contains an intact frame with a number above after. Such a
// frame was written only after the preceding one had been synced.
func hasLaterFrame(data []byte, after uint64) bool {
	for len(data) >= frameHeaderSize {
		if binary.LittleEndian.Uint32(data) == frameMagic {
			if number, _, ok := parseFrame(data); ok && number > after {
				return true
			}
		}
		data = data[1:]
	}
	return false
}
