package dispatch

// maxFree bounds each list of free records. In steady state a request arrives for each one
// that ends; the excess after a burst is left to the garbage collector.
const maxFree = 1024

// freeLists holds the records of ended requests for reuse. Without reuse, two thirds of the
// slowest 1.5% of decisions were page faults of a heap that grew between collections.
type freeLists struct {
	// ended records are in use until the call that ended them returns.
	ended    []*request
	requests []*request
	runs     []*run
}

// release takes a request that is no longer in any index.
func (s *freeLists) release(r *request) {
	if len(s.ended) < maxFree {
		s.ended = append(s.ended, r)
	}
}

// recycle makes the ended requests available for reuse. The caller must not hold any of them.
func (s *freeLists) recycle() {
	for i, r := range s.ended {
		if r.run != nil && len(s.runs) < maxFree {
			*r.run = run{}
			s.runs = append(s.runs, r.run)
		}
		*r = request{}
		if len(s.requests) < maxFree {
			s.requests = append(s.requests, r)
		}
		s.ended[i] = nil
	}
	s.ended = s.ended[:0]
}

func (s *freeLists) request() *request {
	last := len(s.requests) - 1
	if last < 0 {
		return &request{}
	}
	r := s.requests[last]
	s.requests = s.requests[:last]
	return r
}

func (s *freeLists) run() *run {
	last := len(s.runs) - 1
	if last < 0 {
		return &run{}
	}
	r := s.runs[last]
	s.runs = s.runs[:last]
	return r
}
