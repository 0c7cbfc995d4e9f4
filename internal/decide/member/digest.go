package member

import (
	"time"

	"briaryard/internal/model"
)

// digestTolerance allows a digest to be sent slightly early. Without it, a tick just before the
// interval has passed would delay the digest by a whole tick.
const digestTolerance = 50 * time.Millisecond

// sendDigest sends a digest to the next connected instance, in round-robin order, once per
// DigestEvery. The instances do not start in step with each other.
func (m *Machine) sendDigest(now time.Time) {
	if now.Sub(m.lastDigestAt) < DigestEvery-digestTolerance {
		return
	}
	m.lastDigestAt = now
	connected := m.Connected()
	if len(connected) == 0 {
		return
	}
	m.digestPeer = (m.digestPeer + 1) % len(connected)
	m.outbox = append(m.outbox, Send{To: connected[m.digestPeer], Body: Digest{Buckets: m.digest()}})
}

// forEachVersion calls visit for every record that is not gone.
func (m *Machine) forEachVersion(visit func(Version)) {
	visit(instanceVersion(m.self))
	for _, i := range m.instances {
		if i.observedState != model.Gone {
			visit(instanceVersion(i.record))
		}
	}
	for _, s := range m.servers {
		if s.record.State != model.Gone {
			visit(serverVersion(s.record))
		}
	}
}

// digest returns a hash of the versions in each bucket.
func (m *Machine) digest() []uint64 {
	buckets := make([]uint64, BucketCount)
	m.forEachVersion(func(v Version) { buckets[v.bucket()] ^= v.hash() })
	return buckets
}

// TakeDigest compares a received digest with the own one and replies with the versions in the
// buckets that differ.
func (m *Machine) TakeDigest(from model.InstanceID, d Digest) {
	differs := make(map[uint32]bool)
	var reply Versions
	for b, own := range m.digest() {
		if b < len(d.Buckets) && d.Buckets[b] != own {
			differs[uint32(b)] = true
			reply.Buckets = append(reply.Buckets, uint32(b))
		}
	}
	if len(differs) == 0 {
		return
	}
	m.forEachVersion(func(v Version) {
		if differs[v.bucket()] {
			reply.Records = append(reply.Records, v)
		}
	})
	m.outbox = append(m.outbox, Send{To: from, Body: reply})
}

// TakeVersions sends the records that are missing or older at the other instance and requests
// those that are missing or older here.
func (m *Machine) TakeVersions(from model.InstanceID, vs Versions) {
	listed := make(map[uint32]bool)
	for _, b := range vs.Buckets {
		listed[b] = true
	}
	type key struct {
		id     string
		server bool
	}
	received := make(map[key]Version)
	var request Want
	var records Records
	for _, v := range vs.Records {
		received[key{v.ID, v.Server}] = v
		own, known := m.versionOf(v)
		switch c := v.compare(own); {
		case !known || c > 0:
			request.Records = append(request.Records, v)
		case c < 0:
			m.appendRecord(&records, own)
		}
	}
	m.forEachVersion(func(v Version) {
		if _, ok := received[key{v.ID, v.Server}]; !ok && listed[v.bucket()] {
			m.appendRecord(&records, v)
		}
	})
	if len(records.Instances)+len(records.Servers) > 0 {
		m.outbox = append(m.outbox, Send{To: from, Body: records})
	}
	if len(request.Records) > 0 {
		m.outbox = append(m.outbox, Send{To: from, Body: request})
	}
}

// versionOf returns the version that this instance has of a record, also of one that is gone.
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

// appendRecord appends the current record of a member, if it is known.
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

// TakeWant replies to a request for records.
func (m *Machine) TakeWant(from model.InstanceID, w Want) {
	r := Records{Whole: w.Whole}
	if w.Whole {
		m.forEachVersion(func(v Version) { m.appendRecord(&r, v) })
	}
	for _, v := range w.Records {
		m.appendRecord(&r, v)
	}
	m.outbox = append(m.outbox, Send{To: from, Body: r})
}
