// Package consensuspb holds the generated protobuf types of the messages between voters and of
// the records on a voter's disk. It owns no logic; only internal/wire/consensuswire uses it.
// When a message changes, regenerate with go generate.
package consensuspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative consensus.proto
