package engine

import (
	"context"
	"sync"
)

// stream is one answer, kept for a while after its end so that it can be resumed.
type stream struct {
	prompt    []byte
	maxTokens int
	cancel    context.CancelFunc

	mu       sync.Mutex
	tokens   []string
	prefill  int
	whole    bool
	finished bool
	// changed is closed and replaced whenever there is something new to read.
	changed chan struct{}
}

func newStream(prompt []byte, maxTokens int, cancel context.CancelFunc) *stream {
	return &stream{prompt: prompt, maxTokens: maxTokens, cancel: cancel, changed: make(chan struct{})}
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) add(token string) { s.update(func() { s.tokens = append(s.tokens, token) }) }

func (s *stream) setPrefill(tokens int) { s.update(func() { s.prefill = tokens }) }

func (s *stream) complete() { s.update(func() { s.whole = true }) }

func (s *stream) finish() { s.update(func() { s.finished = true }) }

// state is what a reader at a position can do next.
type state struct {
	tokens   []string
	prefill  int
	whole    bool
	finished bool
	changed  <-chan struct{}
}

func (s *stream) from(position int) state {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := state{prefill: s.prefill, whole: s.whole, finished: s.finished, changed: s.changed}
	if position < len(s.tokens) {
		st.tokens = s.tokens[position:]
	}
	return st
}
