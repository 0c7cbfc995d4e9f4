package member

import (
	"time"

	"briaryard/internal/model"
)

// digestSlack keeps a tick that comes a little early from delaying the digest by a whole tick.
const digestSlack = 50 * time.Millisecond

// sendDigest sends a digest to the next connected instance. Going round reaches every
// instance, and the instances do not start in step with each other.
func (m *Machine) sendDigest(now time.Time) {
	if now.Sub(m.digestAt) < DigestEvery-digestSlack {
		return
	}
	m.digestAt = now
	connected := m.Connected()
	if len(connected) == 0 {
		return
	}
	m.digestTo = (m.digestTo + 1) % len(connected)
	m.sends = append(m.sends, Send{To: connected[m.digestTo], Body: Digest{Buckets: m.digest()}})
}

// versions calls visit for every record that is not gone.
func (m *Machine) versions(visit func(Version)) {
	visit(instanceVersion(m.self))
	for _, i := range m.instances {
		if i.judged != model.Gone {
			visit(instanceVersion(i.record))
		}
	}
	for _, s := range m.servers {
		if s.record.State != model.Gone {
			visit(serverVersion(s.record))
		}
	}
}

func (m *Machine) digest() []uint64 {
	buckets := make([]uint64, BucketCount)
	m.versions(func(v Version) { buckets[v.bucket()] ^= v.hash() })
	return buckets
}

// TakeDigest compares a digest and answers with the versions of the buckets that differ.
func (m *Machine) TakeDigest(from model.InstanceID, d Digest) {
	differs := make(map[uint32]bool)
	var answer Versions
	for b, own := range m.digest() {
		if b < len(d.Buckets) && d.Buckets[b] != own {
			differs[uint32(b)] = true
			answer.Buckets = append(answer.Buckets, uint32(b))
		}
	}
	if len(differs) == 0 {
		return
	}
	m.versions(func(v Version) {
		if differs[v.bucket()] {
			answer.Records = append(answer.Records, v)
		}
	})
	m.sends = append(m.sends, Send{To: from, Body: answer})
}

// TakeVersions sends the records that the other instance lacks and asks for those that are
// newer there.
func (m *Machine) TakeVersions(from model.InstanceID, vs Versions) {
	listed := make(map[uint32]bool)
	for _, b := range vs.Buckets {
		listed[b] = true
	}
	type key struct {
		id     string
		server bool
	}
	theirs := make(map[key]Version)
	var want Want
	var records Records
	for _, v := range vs.Records {
		theirs[key{v.ID, v.Server}] = v
		own, known := m.versionOf(v)
		switch c := v.compare(own); {
		case !known || c > 0:
			want.Records = append(want.Records, v)
		case c < 0:
			m.appendRecord(&records, own)
		}
	}
	m.versions(func(v Version) {
		if _, ok := theirs[key{v.ID, v.Server}]; !ok && listed[v.bucket()] {
			m.appendRecord(&records, v)
		}
	})
	if len(records.Instances)+len(records.Servers) > 0 {
		m.sends = append(m.sends, Send{To: from, Body: records})
	}
	if len(want.Records) > 0 {
		m.sends = append(m.sends, Send{To: from, Body: want})
	}
}

// versionOf returns the own version of a record, gone ones included.
func (m *Machine) versionOf(v Version) (Version, bool) {
	if v.Server {
		if s := m.servers[model.BackendServerID(v.ID)]; s != nil {
			return serverVersion(s.record), true
		}
		return Version{}, false
	}
	if model.InstanceID(v.ID) == m.self.ID {
		return instanceVersion(m.self), true
	}
	if i := m.instances[model.InstanceID(v.ID)]; i != nil {
		return instanceVersion(i.record), true
	}
	return Version{}, false
}

func (m *Machine) appendRecord(r *Records, v Version) {
	if v.Server {
		if s := m.servers[model.BackendServerID(v.ID)]; s != nil {
			r.Servers = append(r.Servers, s.record)
		}
		return
	}
	if model.InstanceID(v.ID) == m.self.ID {
		r.Instances = append(r.Instances, m.self)
	} else if i := m.instances[model.InstanceID(v.ID)]; i != nil {
		r.Instances = append(r.Instances, i.record)
	}
}

// TakeWant answers a request for records.
func (m *Machine) TakeWant(from model.InstanceID, w Want) {
	r := Records{Whole: w.Whole}
	if w.Whole {
		m.versions(func(v Version) { m.appendRecord(&r, v) })
	}
	for _, v := range w.Records {
		m.appendRecord(&r, v)
	}
	m.sends = append(m.sends, Send{To: from, Body: r})
}
