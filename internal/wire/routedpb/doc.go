// Package routedpb holds the generated protobuf types of routed.proto. It owns no state and is
// used only by codecs; the types never reach a service's decisions.
package routedpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/routedpb/routed.proto
