package consensuswire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/wire/consensuspb"
)

// MalformedError reports bytes that are not a valid message or record.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed consensus data: " + e.Reason }

// UnknownTypeError reports a body that is not a consensus.Message.
type UnknownTypeError struct{ Body any }

func (e *UnknownTypeError) Error() string { return fmt.Sprintf("cannot encode %T", e.Body) }

// Codec implements port.Codec for consensus.Message.
type Codec struct{}

// Encode implements port.Codec.
func (Codec) Encode(body any) ([]byte, error) {
	m, ok := body.(consensus.Message)
	if !ok {
		return nil, &UnknownTypeError{Body: body}
	}
	p := &consensuspb.Message{
		Type: uint32(m.Type), Group: m.Group, From: encodeMember(m.From), To: encodeMember(m.To), Boot: encodeBoot(m.Boot),
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Entries: encodeEntries(m.Entries),
		Round: m.Round, Reject: m.Reject, Transfer: m.Transfer, Subject: encodeBoot(m.Subject),
	}
	if c := m.Chunk; c != nil {
		p.Chunk = &consensuspb.Chunk{Part: encodeSnapshot(c.Snapshot), Offset: c.Offset, Last: c.Last}
	}
	return proto.Marshal(p)
}

// Decode implements port.Codec.
func (Codec) Decode(data []byte) (any, error) {
	var p consensuspb.Message
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	if p.GetType() < uint32(consensus.MsgPreVote) || p.GetType() > uint32(consensus.MsgJoin) {
		return nil, &MalformedError{Reason: "unknown type of message"}
	}
	entries, err := decodeEntries(p.GetEntries())
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 && entries[0].Index != p.GetIndex()+1 {
		return nil, &MalformedError{Reason: "entries do not follow the index"}
	}
	m := consensus.Message{
		Type: consensus.MessageType(p.GetType()), Group: p.GetGroup(), From: decodeMember(p.GetFrom()), To: decodeMember(p.GetTo()),
		Boot: decodeBoot(p.GetBoot()), Term: p.GetTerm(), Index: p.GetIndex(), LogTerm: p.GetLogTerm(), Commit: p.GetCommit(),
		Entries: entries, Round: p.GetRound(), Reject: p.GetReject(), Transfer: p.GetTransfer(), Subject: decodeBoot(p.GetSubject()),
	}
	if c := p.GetChunk(); c != nil {
		m.Chunk = &consensus.Chunk{Snapshot: decodeSnapshot(c.GetPart()), Offset: c.GetOffset(), Last: c.GetLast()}
	}
	return m, nil
}
