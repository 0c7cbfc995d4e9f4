package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of one sync:
//
//	magic  uint32
//	length uint32  of the payload
//	number uint64  one more than the frame before
//	check  uint32  CRC32C over length, number and payload
//	payload
const (
	frameMagic  = 0x42795931
	frameHeader = 20
	// maxFrame bounds what a damaged length can make the reader look at.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buf []byte, number uint64, payload []byte) []byte {
	head := frameHead(number, payload)
	return append(append(buf, head[:]...), payload...)
}

func frameHead(number uint64, payload []byte) (head [frameHeader]byte) {
	binary.LittleEndian.PutUint32(head[0:], frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[8:], number)
	binary.LittleEndian.PutUint32(head[16:], checksum(head[4:16], payload))
	return head
}

func checksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// parseFrame returns the frame at the start of data, or false if it is not whole.
func parseFrame(data []byte) (number uint64, payload []byte, ok bool) {
	if len(data) < frameHeader || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxFrame || length > len(data)-frameHeader {
		return 0, nil, false
	}
	payload = data[frameHeader : frameHeader+length]
	if checksum(data[4:16], payload) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), payload, true
}

// laterFrame reports whether data holds a whole frame with a number above after. Such a frame
// was written after the one before it had been synced.
func laterFrame(data []byte, after uint64) bool {
	for len(data) >= frameHeader {
		if binary.LittleEndian.Uint32(data) == frameMagic {
			if number, _, ok := parseFrame(data); ok && number > after {
				return true
			}
		}
		data = data[1:]
	}
	return false
}
