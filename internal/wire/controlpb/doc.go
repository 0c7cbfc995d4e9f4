// Package controlpb is the generated code of control.proto: the messages between instances
// and the control group, and the form of commands and snapshots on disk.
//
// It owns nothing and checks nothing beyond the protobuf syntax; controlwire checks sizes
// and values. Only controlwire imports it.
package controlpb

//go:generate protoc --go_out=paths=source_relative:. control.proto
