package dispatch

// join makes a request follow the one that has its key. It reports whether it did. The more
// urgent of the two waits in the order, so that a duplicate is never held back by a lower
// tier.
func (p *Pool) join(r *request) bool {
	if r.desc.Key.IsZero() {
		return false
	}
	first := p.keys[r.desc.Key]
	if first == nil {
		p.keys[r.desc.Key] = r
		return false
	}
	if first.phase == waiting && r.desc.Tier < first.desc.Tier {
		p.supplant(first, r)
		return false
	}
	// Like every shedding, this waits until the pool knows all requests and its lease.
	if p.following >= p.maxWaiting && p.Ready() && !p.lapsed {
		p.forget(r)
		p.evict(r, Shed, "too many requests wait for the same key")
		return true
	}
	r.phase = following
	r.leader = first
	first.followers = append(first.followers, r)
	p.following++
	return true
}

// supplant makes a waiting request and its followers follow another request with the key.
func (p *Pool) supplant(first, by *request) {
	p.dequeue(first)
	by.followers = append(first.followers, first)
	first.followers = nil
	for _, f := range by.followers {
		f.leader = by
	}
	first.phase = following
	p.following++
	p.keys[by.desc.Key] = by
}

// unfollow removes a request from its leader's followers.
func (p *Pool) unfollow(r *request) {
	l := r.leader
	for i, f := range l.followers {
		if f == r {
			l.followers = append(l.followers[:i], l.followers[i+1:]...)
			break
		}
	}
	r.leader = nil
	p.following--
}

// succeed gives the place of a request that ended without running to its first follower of
// the most urgent tier, because a follower waits as long as the request that it follows.
func (p *Pool) succeed(r *request) {
	if r.desc.Key.IsZero() || p.keys[r.desc.Key] != r {
		return
	}
	delete(p.keys, r.desc.Key)
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
	p.following--
	p.keys[next.desc.Key] = next
	p.enqueue(next)
}

// conclude tells the followers of a request that it has ended after running.
func (p *Pool) conclude(r *request) {
	if r.desc.Key.IsZero() || p.keys[r.desc.Key] != r {
		return
	}
	delete(p.keys, r.desc.Key)
	for _, f := range r.followers {
		p.following--
		f.leader = nil
		p.forget(f)
		// The instance looks the key up and may register the request again.
		p.emit(Decision{Kind: Duplicate, Descriptor: f.desc, Reason: "another attempt with the key ended"})
	}
	r.followers = nil
}
