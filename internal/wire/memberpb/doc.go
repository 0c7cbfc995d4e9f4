// Package memberpb holds the generated protobuf types of member.proto. It holds no state and is
// imported only by internal/wire/memberwire; decision packages do not use its types.
package memberpb

//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=briaryard internal/wire/memberpb/member.proto
