package dispatch

// coalesce makes r follow the request that already has its idempotency key, and reports
// whether it did. While both wait, the more urgent of the two stays in the queue, so that a
// request is never delayed by a duplicate in a lower tier.
func (p *Pool) coalesce(r *request) bool {
	if r.desc.Key.IsZero() {
		return false
	}
	leader := p.byKey[r.desc.Key]
	if leader == nil {
		p.byKey[r.desc.Key] = r
		return false
	}
	if leader.phase == waiting && r.desc.Tier < leader.desc.Tier {
		p.replaceLeader(leader, r)
		return false
	}
	// As with all shedding, this requires that the pool has heard from all instances and that
	// its lease has not lapsed.
	if p.followers >= p.maxWaiting && p.Ready() && !p.leaseLapsed {
		p.untrack(r)
		p.evict(r, Shed, "too many requests wait for the same key")
		return true
	}
	r.phase = following
	r.leader = leader
	leader.followers = append(leader.followers, r)
	p.followers++
	return true
}

// replaceLeader makes a waiting leader and its followers follow replacement, which
// has the same key.
func (p *Pool) replaceLeader(leader, replacement *request) {
	p.dequeue(leader)
	replacement.followers = append(leader.followers, leader)
	leader.followers = nil
	for _, f := range replacement.followers {
		f.leader = replacement
	}
	leader.phase = following
	p.followers++
	p.byKey[replacement.desc.Key] = replacement
}

// removeFollower removes a request from its leader's followers.
func (p *Pool) removeFollower(r *request) {
	l := r.leader
	for i, f := range l.followers {
		if f == r {
			l.followers = append(l.followers[:i], l.followers[i+1:]...)
			break
		}
	}
	r.leader = nil
	p.followers--
}

// promoteFollower enqueues the first follower of the most urgent tier in place of a request
// that ended without running, because followers wait as long as their leader.
func (p *Pool) promoteFollower(r *request) {
	if r.desc.Key.IsZero() || p.byKey[r.desc.Key] != r {
		return
	}
	delete(p.byKey, r.desc.Key)
	if len(r.followers) == 0 {
		return
	}
	first := 0
	for i, f := range r.followers {
		if f.desc.Tier < r.followers[first].desc.Tier {
			first = i
		}
	}
	next := r.followers[first]
	next.followers = append(r.followers[:first], r.followers[first+1:]...)
	r.followers = nil
	next.leader = nil
	for _, f := range next.followers {
		f.leader = next
	}
	p.followers--
	p.byKey[next.desc.Key] = next
	p.enqueue(next)
}

// notifyFollowers emits a Duplicate decision for each follower of a request that has ended
// after it ran.
func (p *Pool) notifyFollowers(r *request) {
	if r.desc.Key.IsZero() || p.byKey[r.desc.Key] != r {
		return
	}
	delete(p.byKey, r.desc.Key)
	for _, f := range r.followers {
		p.followers--
		f.leader = nil
		p.untrack(f)
		// The instance looks the key up and may register the request again.
		p.emit(Decision{Kind: Duplicate, Descriptor: f.desc, Reason: "another attempt with the key ended"})
	}
	r.followers = nil
}
