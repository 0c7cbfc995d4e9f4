// Package memberpb holds the generated protobuf types of member.proto. It owns no state and is
// used only by codecs; the types never reach a service's decisions.
package memberpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/memberpb/member.proto
