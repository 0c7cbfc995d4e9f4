package engine

import (
	"context"
	"sync"
)

// stream holds the answer to one call. It is kept for the retention time after its end so that
// it can be resumed.
type stream struct {
	prompt    []byte
	maxTokens int
	cancel    context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	prefill int
	// completed is set when all tokens were generated, finished when generation has ended for
	// any reason.
	completed bool
	finished  bool
	// changed is closed and replaced on every update.
	changed chan struct{}
}

func newStream(prompt []byte, maxTokens int, cancel context.CancelFunc) *stream {
	return &stream{prompt: prompt, maxTokens: maxTokens, cancel: cancel, changed: make(chan struct{})}
}

// update applies a change and wakes up the readers.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) appendToken(token string) { s.update(func() { s.tokens = append(s.tokens, token) }) }

func (s *stream) setPrefill(tokens int) { s.update(func() { s.prefill = tokens }) }

func (s *stream) complete() { s.update(func() { s.completed = true }) }

func (s *stream) finish() { s.update(func() { s.finished = true }) }

// snapshot holds the tokens from a position on and the state of a stream.
type snapshot struct {
	tokens    []string
	prefill   int
	completed bool
	finished  bool
	changed   <-chan struct{}
}

func (s *stream) snapshotFrom(position int) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := snapshot{prefill: s.prefill, completed: s.completed, finished: s.finished, changed: s.changed}
	if position < len(s.tokens) {
		st.tokens = s.tokens[position:]
	}
	return st
}
