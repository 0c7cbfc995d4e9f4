package routedwire

import (
	"time"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	pb "briaryard/internal/wire/routedpb"
)

const (
	// maxPartBytes bounds the id of a part, and maxPartTime the durations of a record.
	maxPartBytes = 64
	maxPartTime  = 24 * time.Hour
)

func encodePartRecords(m port.PartRecordsMessage) *pb.PartRecords {
	out := &pb.PartRecords{Follow: m.Follow, Unfollow: m.Unfollow}
	for i := range m.Records {
		r := &m.Records[i]
		p := &pb.PartRecord{Part: string(r.Part), Generation: r.Generation, Level: uint32(r.Level), RemainingUs: r.Remaining.Microseconds()}
		for _, s := range r.Crashes {
			p.Crashes = append(p.Crashes, &pb.Crash{Server: string(s.Server), Incarnation: uint64(s.Incarnation), AgeUs: s.Age.Microseconds(), TookUs: s.Took.Microseconds()})
		}
		out.Records = append(out.Records, p)
	}
	return out
}

func decodePartRecords(p *pb.PartRecords) (any, error) {
	m := port.PartRecordsMessage{Follow: p.GetFollow(), Unfollow: p.GetUnfollow()}
	for _, r := range p.GetRecords() {
		record, err := decodePartRecord(r)
		if err != nil {
			return nil, err
		}
		m.Records = append(m.Records, record)
	}
	return m, nil
}

func decodePartRecord(p *pb.PartRecord) (quarantine.RelativeRecord, error) {
	r := quarantine.RelativeRecord{
		Part: model.PromptPart(p.GetPart()), Generation: p.GetGeneration(), Level: int(p.GetLevel()), Remaining: micros(p.GetRemainingUs()),
	}
	if p.GetPart() == "" || len(p.GetPart()) > maxPartBytes || p.GetLevel() > quarantine.MaxLevel || len(p.GetCrashes()) > quarantine.MaxCrashes ||
		!inPartTime(p.GetRemainingUs()) {
		return r, &fault.PeerProtocol{Reason: "record of a prompt part out of range"}
	}
	for _, s := range p.GetCrashes() {
		if s.GetServer() == "" || s.GetAgeUs() < 0 || !inPartTime(s.GetAgeUs()) || s.GetTookUs() < 0 || !inPartTime(s.GetTookUs()) {
			return r, &fault.PeerProtocol{Reason: "crash out of range"}
		}
		r.Crashes = append(r.Crashes, quarantine.RelativeCrash{
			CrashID: quarantine.CrashID{Server: model.BackendServerID(s.GetServer()), Incarnation: model.Incarnation(s.GetIncarnation())}, Age: micros(s.GetAgeUs()), Took: micros(s.GetTookUs()),
		})
	}
	return r, nil
}

// inPartTime reports whether a number of microseconds is a duration that a record may have.
func inPartTime(us int64) bool {
	return us <= maxPartTime.Microseconds() && us >= -maxPartTime.Microseconds()
}
