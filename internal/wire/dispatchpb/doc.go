// Package dispatchpb holds the generated protobuf types of dispatch.proto. It owns no state and is
// used only by codecs; the types never reach a service's decisions.
package dispatchpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/dispatchpb/dispatch.proto
