package dispatch

// maxSpare bounds the records that are kept for use again. In steady state a request
// arrives for each that ends; what a burst leaves goes to the garbage collector.
const maxSpare = 1024

// spares keeps the records of ended requests for use again. Two thirds of the slowest 1.5%
// of decisions were page faults of a heap that grew between collections.
type spares struct {
	// ended are in use until the call that ended them returns.
	ended    []*request
	requests []*request
	runs     []*run
}

// retire takes a request that no index holds any more.
func (s *spares) retire(r *request) {
	if len(s.ended) < maxSpare {
		s.ended = append(s.ended, r)
	}
}

// recycle makes the ended requests available. The caller holds none of them.
func (s *spares) recycle() {
	for i, r := range s.ended {
		if r.run != nil && len(s.runs) < maxSpare {
			*r.run = run{}
			s.runs = append(s.runs, r.run)
		}
		*r = request{}
		if len(s.requests) < maxSpare {
			s.requests = append(s.requests, r)
		}
		s.ended[i] = nil
	}
	s.ended = s.ended[:0]
}

func (s *spares) request() *request {
	last := len(s.requests) - 1
	if last < 0 {
		return &request{}
	}
	r := s.requests[last]
	s.requests = s.requests[:last]
	return r
}

func (s *spares) run() *run {
	last := len(s.runs) - 1
	if last < 0 {
		return &run{}
	}
	r := s.runs[last]
	s.runs = s.runs[:last]
	return r
}
