// Package routedpb holds the generated protobuf types of routed.proto. It holds no state and is
// imported only by internal/wire/routedwire; decision packages do not use its types.
package routedpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/routedpb/routed.proto
