package memberwire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/member"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	pb "briaryard/internal/wire/memberpb"
)

// maxSlots bounds the number of slots of a backend server.
const maxSlots = 1 << 16

// Codec implements port.Codec for the membership messages.
type Codec struct{}

// Encode implements port.Codec.
func (Codec) Encode(body any) ([]byte, error) {
	var env pb.Envelope
	switch m := body.(type) {
	case member.Records:
		env.Body = &pb.Envelope_Records{Records: encodeRecords(m)}
	case member.Digest:
		env.Body = &pb.Envelope_Digest{Digest: &pb.Digest{Buckets: m.Buckets}}
	case member.Versions:
		env.Body = &pb.Envelope_Versions{Versions: &pb.Versions{Buckets: m.Buckets, Records: encodeVersions(m.Records)}}
	case member.Want:
		env.Body = &pb.Envelope_Want{Want: &pb.Want{Records: encodeVersions(m.Records), Whole: m.Whole}}
	default:
		return nil, &fault.PeerProtocol{Reason: fmt.Sprintf("no encoding for %T", body)}
	}
	return proto.Marshal(&env)
}

// Decode implements port.Codec.
func (Codec) Decode(data []byte) (any, error) {
	var env pb.Envelope
	if err := proto.Unmarshal(data, &env); err != nil {
		return nil, &fault.PeerProtocol{Reason: err.Error()}
	}
	switch b := env.GetBody().(type) {
	case *pb.Envelope_Records:
		return decodeRecords(b.Records)
	case *pb.Envelope_Digest:
		if len(b.Digest.GetBuckets()) != member.BucketCount {
			return nil, &fault.PeerProtocol{Reason: "digest of the wrong length"}
		}
		return member.Digest{Buckets: b.Digest.GetBuckets()}, nil
	case *pb.Envelope_Versions:
		records, err := decodeVersions(b.Versions.GetRecords())
		return member.Versions{Buckets: b.Versions.GetBuckets(), Records: records}, err
	case *pb.Envelope_Want:
		records, err := decodeVersions(b.Want.GetRecords())
		return member.Want{Records: records, Whole: b.Want.GetWhole()}, err
	}
	return nil, &fault.PeerProtocol{Reason: "message of no known kind"}
}

func encodeVersions(vs []member.Version) []*pb.Version {
	out := make([]*pb.Version, 0, len(vs))
	for _, v := range vs {
		out = append(out, &pb.Version{
			Id: v.ID, Server: v.Server, Incarnation: uint64(v.Incarnation),
			Sequence: v.Sequence, State: uint32(v.State), Home: string(v.Home),
		})
	}
	return out
}

func decodeVersions(vs []*pb.Version) ([]member.Version, error) {
	var out []member.Version
	for _, v := range vs {
		if err := checkRecord(v.GetId(), v.GetState()); err != nil {
			return nil, err
		}
		out = append(out, member.Version{
			ID: v.GetId(), Server: v.GetServer(), Incarnation: model.Incarnation(v.GetIncarnation()),
			Sequence: v.GetSequence(), State: model.MemberState(v.GetState()), Home: model.InstanceID(v.GetHome()),
		})
	}
	return out, nil
}

// checkRecord checks the fields that all records share.
func checkRecord(id string, state uint32) error {
	switch {
	case id == "":
		return &fault.PeerProtocol{Reason: "record without an id"}
	case state > uint32(model.Gone):
		return &fault.PeerProtocol{Reason: "unknown member state"}
	}
	return nil
}

func encodeRecords(r member.Records) *pb.Records {
	out := &pb.Records{Whole: r.Whole}
	for _, i := range r.Instances {
		out.Instances = append(out.Instances, &pb.Instance{
			Id: string(i.ID), Incarnation: uint64(i.Incarnation), Sequence: i.Sequence, State: uint32(i.State),
			FailureDomain: string(i.Domain), PeerAddress: i.PeerAddress, CallerAddress: i.CallerAddress,
			ServerAddress: i.ServerAddress, OperatorAddress: i.OperatorAddress, Voter: i.Voter, Withdrawn: i.Withdrawn,
		})
	}
	for _, s := range r.Servers {
		p := &pb.Server{
			Id: string(s.ID), Incarnation: uint64(s.Incarnation), Sequence: s.Sequence, State: uint32(s.State),
			Home: string(s.Home), Address: s.Address, FailureDomain: string(s.Domain), Kind: uint32(s.Kind),
			Adapters: s.Adapters, Slots: uint32(s.Slots), Generation: s.Generation, ChecksFencing: s.ChecksFencing,
			OrderId: s.Order.ID, OrderState: uint32(s.Order.State),
		}
		for _, pool := range s.Pools {
			p.Pools = append(p.Pools, string(pool))
		}
		out.Servers = append(out.Servers, p)
	}
	return out
}

func decodeRecords(r *pb.Records) (member.Records, error) {
	out := member.Records{Whole: r.GetWhole()}
	for _, i := range r.GetInstances() {
		if err := checkRecord(i.GetId(), i.GetState()); err != nil {
			return member.Records{}, err
		}
		out.Instances = append(out.Instances, model.Instance{
			ID: model.InstanceID(i.GetId()), Incarnation: model.Incarnation(i.GetIncarnation()), Sequence: i.GetSequence(),
			State: model.MemberState(i.GetState()), Domain: model.FailureDomain(i.GetFailureDomain()),
			PeerAddress: i.GetPeerAddress(), CallerAddress: i.GetCallerAddress(), ServerAddress: i.GetServerAddress(),
			OperatorAddress: i.GetOperatorAddress(), Voter: i.GetVoter(), Withdrawn: i.GetWithdrawn(),
		})
	}
	for _, s := range r.GetServers() {
		if err := checkRecord(s.GetId(), s.GetState()); err != nil {
			return member.Records{}, err
		}
		if s.GetSlots() < 1 || s.GetSlots() > maxSlots || s.GetKind() > uint32(model.PlainServer) ||
			s.GetOrderState() > uint32(model.OrderFailed) {
			return member.Records{}, &fault.PeerProtocol{Reason: "backend server out of range"}
		}
		out.Servers = append(out.Servers, decodeServer(s))
	}
	return out, nil
}

func decodeServer(s *pb.Server) model.BackendServer {
	out := model.BackendServer{
		ID: model.BackendServerID(s.GetId()), Incarnation: model.Incarnation(s.GetIncarnation()), Sequence: s.GetSequence(),
		State: model.MemberState(s.GetState()), Home: model.InstanceID(s.GetHome()), Address: s.GetAddress(),
		Domain: model.FailureDomain(s.GetFailureDomain()), Kind: model.ServerKind(s.GetKind()), Adapters: s.GetAdapters(),
		Slots: int(s.GetSlots()), Generation: s.GetGeneration(), ChecksFencing: s.GetChecksFencing(),
		Order: model.AnnouncedOrder{ID: s.GetOrderId(), State: model.OrderState(s.GetOrderState())},
	}
	for _, pool := range s.GetPools() {
		out.Pools = append(out.Pools, model.PoolID(pool))
	}
	return out
}
