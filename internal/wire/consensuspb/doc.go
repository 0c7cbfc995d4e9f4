// Package consensuspb holds the generated protobuf types of the messages between voters and of
// the records on a voter's disk. It contains no logic and is imported only by
// internal/wire/consensuswire. Run go generate after a change of consensus.proto.
package consensuspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative consensus.proto
