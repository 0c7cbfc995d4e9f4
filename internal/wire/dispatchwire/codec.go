package dispatchwire

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/fault"
	"briaryard/internal/port"
	pb "briaryard/internal/wire/dispatchpb"
)

// Codec implements port.Codec for the messages between instances and dispatchers. Now returns the
// current time of this machine.
type Codec struct{ Now func() time.Time }

// New returns a codec that uses the clock of this machine.
func New() Codec { return Codec{Now: time.Now} }

// Encode implements port.Codec.
func (c Codec) Encode(body any) ([]byte, error) {
	e := encoder{now: c.Now()}
	var env pb.Envelope
	switch m := body.(type) {
	case port.RegisterMessage:
		env.Body = &pb.Envelope_Register{Register: e.descriptor(m.Descriptor)}
	case port.WithdrawMessage:
		env.Body = &pb.Envelope_Withdraw{Withdraw: &pb.Withdraw{Pool: string(m.Pool), Request: requestID(m.Request)}}
	case port.ReportMessage:
		env.Body = &pb.Envelope_Report{Report: progress(m.Progress)}
	case port.StateMessage:
		env.Body = &pb.Envelope_State{State: e.state(m.State)}
	case port.ServerReportMessage:
		env.Body = &pb.Envelope_ServerReport{ServerReport: e.report(m.Report)}
	case port.EventMessage:
		env.Body = &pb.Envelope_Event{Event: e.event(m.Event)}
	case port.StateRequest:
		env.Body = &pb.Envelope_StateRequest{StateRequest: &pb.StateRequest{
			Pool: string(m.Pool), Epoch: uint64(m.Epoch), Sequence: m.Sequence, Compare: m.Compare, Digest: uint64(m.Digest),
		}}
	case port.DemandMessage:
		env.Body = &pb.Envelope_Demand{Demand: demand(m)}
	default:
		return nil, &fault.PeerProtocol{Reason: fmt.Sprintf("no encoding for %T", body)}
	}
	return proto.Marshal(&env)
}

// Decode implements port.Codec.
func (c Codec) Decode(data []byte) (any, error) {
	var env pb.Envelope
	if err := proto.Unmarshal(data, &env); err != nil {
		return nil, &fault.PeerProtocol{Reason: err.Error()}
	}
	d := &decoder{now: c.Now()}
	body := d.envelope(&env)
	if d.reason != "" {
		return nil, &fault.PeerProtocol{Reason: d.reason}
	}
	return body, nil
}
