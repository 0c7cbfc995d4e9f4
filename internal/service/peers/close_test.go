package peers

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// sluggish is a transport whose reader notices the end late, as when it gets no turn on the one
// processor of a small machine.
type sluggish struct{ net.Conn }

const noticeAfter = 300 * time.Millisecond

func (s sluggish) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err != nil {
		time.Sleep(noticeAfter)
	}
	return n, err
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a reader that spins while its connection is being closed. On one processor it kept
// the session's own reader from running, so that the process did nothing else for 2 s.
func TestClosingAConnectionDoesNotSpin(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() { _, _ = b.Read(make([]byte, 1024)) }()
	c, err := openConn(sluggish{a})
	if err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	go func() {
		_, _ = c.wait(silentAfter)
		close(reading)
	}()
	// The reader waits by then.
	time.Sleep(50 * time.Millisecond)
	began := processorTime(t)
	c.close()
	<-reading
	if spent := processorTime(t) - began; spent > noticeAfter/3 {
		t.Errorf("closing took %v of processor time in %v", spent, noticeAfter)
	}
}
