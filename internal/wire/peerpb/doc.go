// Package peerpb holds the generated protobuf types of peer.proto. It owns no state and is
// used only by codecs; the types never reach a service's decisions.
package peerpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/peerpb/peer.proto
