package controlwire

import (
	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/wire/controlpb"
)

// MaxCommand bounds the encoded size of a command. The largest commands contain a configuration.
const MaxCommand = 8 << 20

// EncodeCommand encodes a command for the log on disk and for messages between voters. It rejects
// what DecodeCommand would reject, because every voter must be able to read a committed entry.
func EncodeCommand(c state.Command) ([]byte, error) {
	m, err := commandToPB(c)
	if err != nil {
		return nil, err
	}
	check := checker{message: "command"}
	check.command(m)
	if check.err != nil {
		return nil, &EncodeError{Value: c, Reason: check.err.Reason}
	}
	return marshal(m, MaxCommand)
}

// DecodeCommand decodes a command that EncodeCommand has encoded.
func DecodeCommand(data []byte) (state.Command, error) {
	m := new(controlpb.Command)
	if err := unmarshal("command", data, MaxCommand, m); err != nil {
		return nil, err
	}
	c := checker{message: "command"}
	command := c.command(m)
	if err := c.error(); err != nil {
		return nil, err
	}
	return command, nil
}

func commandToPB(c state.Command) (*controlpb.Command, error) {
	switch c := c.(type) {
	case state.Claim:
		return &controlpb.Command{Command: &controlpb.Command_Claim{Claim: &controlpb.Claim{
			Key: c.Key[:], Fingerprint: c.Fingerprint[:], Request: requestToPB(c.Request), SeenIndex: c.SeenIndex,
			Team: string(c.Team)}}}, nil
	case state.Finish:
		return &controlpb.Command{Command: &controlpb.Command_Finish{Finish: &controlpb.Finish{
			Key: c.Key[:], Request: requestToPB(c.Request), Answer: answerToPB(c.Answer)}}}, nil
	case state.Abandon:
		return &controlpb.Command{Command: &controlpb.Command_Abandon{Abandon: keyToPB(c.Key, c.Request)}}, nil
	case state.Release:
		return &controlpb.Command{Command: &controlpb.Command_Release{Release: keyToPB(c.Key, c.Request)}}, nil
	case state.Refuse:
		return &controlpb.Command{Command: &controlpb.Command_Refuse{Refuse: keyToPB(c.Key, c.Request)}}, nil
	case state.Lookup:
		return &controlpb.Command{Command: &controlpb.Command_Lookup{Lookup: lookupToPB(c)}}, nil
	case state.Await:
		return &controlpb.Command{Command: &controlpb.Command_Await{Await: lookupToPB(c.Lookup)}}, nil
	case state.OwnerDead:
		return &controlpb.Command{Command: &controlpb.Command_OwnerDead{OwnerDead: &controlpb.OwnerDead{
			Instance: string(c.Instance), Incarnation: uint64(c.Incarnation)}}}, nil
	case state.ApplyConfig:
		return &controlpb.Command{Command: &controlpb.Command_ApplyConfig{ApplyConfig: &controlpb.ApplyConfig{
			ChangeId: c.ChangeID, Base: uint64(c.Base), Number: uint64(c.Number), Operator: c.Operator, Content: c.Content}}}, nil
	case state.AcquireLease:
		return &controlpb.Command{Command: &controlpb.Command_AcquireLease{AcquireLease: &controlpb.AcquireLease{
			Name: c.Name, Holder: string(c.Holder), Incarnation: uint64(c.Incarnation), After: uint64(c.ExpectedEpoch)}}}, nil
	case state.ReleaseLease:
		return &controlpb.Command{Command: &controlpb.Command_ReleaseLease{ReleaseLease: &controlpb.ReleaseLease{
			Name: c.Name, Epoch: uint64(c.Epoch)}}}, nil
	}
	if c, ok := c.(state.ChangeVoters); ok {
		return &controlpb.Command{Command: &controlpb.Command_ChangeVoters{ChangeVoters: &controlpb.ChangeVoters{
			Instance: string(c.Instance), Remove: c.Remove}}}, nil
	}
	if c, ok := c.(state.ListChanges); ok {
		return &controlpb.Command{Command: &controlpb.Command_ListChanges{ListChanges: &controlpb.ListChanges{Before: uint64(c.Before)}}}, nil
	}
	if c, ok := c.(state.ReplaceConfig); ok {
		return &controlpb.Command{Command: &controlpb.Command_ReplaceConfig{ReplaceConfig: &controlpb.ReplaceConfig{
			Number: uint64(c.Number), Content: c.Content}}}, nil
	}
	if _, ok := c.(state.ReadConfig); ok {
		return &controlpb.Command{Command: &controlpb.Command_ReadConfig{ReadConfig: &controlpb.ReadConfig{}}}, nil
	}
	return rolloutCommandToPB(c)
}

// command converts a command and checks its fields.
func (c *checker) command(m *controlpb.Command) state.Command {
	switch m := m.GetCommand().(type) {
	case *controlpb.Command_Claim:
		v := m.Claim
		return state.Claim{Key: c.key(v.GetKey()), Fingerprint: c.fingerprint(v.GetFingerprint()),
			Request: c.request(v.GetRequest()), SeenIndex: v.GetSeenIndex(), Team: c.team(v.GetTeam())}
	case *controlpb.Command_Finish:
		v := m.Finish
		return state.Finish{Key: c.key(v.GetKey()), Request: c.request(v.GetRequest()), Answer: c.answer(v.GetAnswer())}
	case *controlpb.Command_Abandon:
		return state.Abandon{Key: c.key(m.Abandon.GetKey()), Request: c.request(m.Abandon.GetRequest())}
	case *controlpb.Command_Release:
		return state.Release{Key: c.key(m.Release.GetKey()), Request: c.request(m.Release.GetRequest())}
	case *controlpb.Command_Refuse:
		return state.Refuse{Key: c.key(m.Refuse.GetKey()), Request: c.request(m.Refuse.GetRequest())}
	case *controlpb.Command_Lookup:
		return c.lookup(m.Lookup)
	case *controlpb.Command_Await:
		return state.Await{Lookup: c.lookup(m.Await)}
	case *controlpb.Command_OwnerDead:
		return state.OwnerDead{Instance: c.instance(m.OwnerDead.GetInstance()), Incarnation: model.Incarnation(m.OwnerDead.GetIncarnation())}
	case *controlpb.Command_ApplyConfig:
		v := m.ApplyConfig
		return state.ApplyConfig{ChangeID: c.text(v.GetChangeId()), Base: model.Revision(v.GetBase()),
			Number: model.Revision(v.GetNumber()), Operator: c.text(v.GetOperator()), Content: c.content(v.GetContent())}
	case *controlpb.Command_AcquireLease:
		v := m.AcquireLease
		return state.AcquireLease{Name: c.text(v.GetName()), Holder: c.instance(v.GetHolder()),
			Incarnation: model.Incarnation(v.GetIncarnation()), ExpectedEpoch: model.Epoch(v.GetAfter())}
	case *controlpb.Command_ReleaseLease:
		return state.ReleaseLease{Name: c.text(m.ReleaseLease.GetName()), Epoch: model.Epoch(m.ReleaseLease.GetEpoch())}
	}
	if v := m.GetChangeVoters(); v != nil {
		return state.ChangeVoters{Instance: c.instance(v.GetInstance()), Remove: v.GetRemove()}
	}
	if v := m.GetReplaceConfig(); v != nil {
		return state.ReplaceConfig{Number: model.Revision(v.GetNumber()), Content: c.content(v.GetContent())}
	}
	if m.GetReadConfig() != nil {
		return state.ReadConfig{}
	}
	if v := m.GetListChanges(); v != nil {
		return state.ListChanges{Before: model.Revision(v.GetBefore())}
	}
	return c.rolloutCommand(m)
}

func requestToPB(id model.RequestID) *controlpb.RequestID {
	return &controlpb.RequestID{Instance: string(id.Instance), Incarnation: uint64(id.Incarnation), Seq: id.Seq}
}

func answerToPB(a *model.Answer) *controlpb.Answer {
	if a == nil {
		return nil
	}
	return &controlpb.Answer{Status: int64(a.Status), ContentType: a.ContentType, Body: a.Body, Tokens: int64(a.Tokens)}
}

func keyToPB(key model.KeyHash, id model.RequestID) *controlpb.KeyRequest {
	return &controlpb.KeyRequest{Key: key[:], Request: requestToPB(id)}
}

func lookupToPB(l state.Lookup) *controlpb.Lookup {
	return &controlpb.Lookup{Key: l.Key[:], Fingerprint: l.Fingerprint[:]}
}

func marshal(m proto.Message, limit int) ([]byte, error) {
	if size := proto.Size(m); size > limit {
		return nil, &EncodeError{Value: m, Reason: "larger than the limit"}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, &EncodeError{Value: m, Reason: err.Error()}
	}
	return data, nil
}

func unmarshal(name string, data []byte, limit int, m proto.Message) error {
	if len(data) > limit {
		return &DecodeError{Message: name, Reason: "larger than the limit"}
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return &DecodeError{Message: name, Reason: err.Error()}
	}
	return nil
}
