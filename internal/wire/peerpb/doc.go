// Package peerpb holds the generated protobuf types of peer.proto. It holds no state and is
// imported only by internal/service/peers; decision packages do not use its types.
package peerpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/peerpb/peer.proto
