// Package controlpb holds the generated protobuf types of control.proto: the messages between
// instances and the control group, and the encoding of commands and snapshots on disk.
//
// It holds no state and checks only the protobuf syntax; controlwire checks sizes and values. Only
// controlwire imports it.
package controlpb

//go:generate protoc --go_out=paths=source_relative:. control.proto
