// Package dispatchpb holds the generated protobuf types of dispatch.proto. It holds no state and is
// imported only by internal/wire/dispatchwire; decision packages do not use its types.
package dispatchpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/dispatchpb/dispatch.proto
