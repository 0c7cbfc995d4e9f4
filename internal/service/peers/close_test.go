package peers

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowCloseConn is a transport whose reader notices the close late, as on a machine with one processor
// that is running another goroutine.
type slowCloseConn struct{ net.Conn }

const closeDelay = 300 * time.Millisecond

func (s slowCloseConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err != nil {
		time.Sleep(closeDelay)
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

// Guards against a reader that spins while its connection is being closed. On one processor it
// keeps the session's own reader from running, which blocked the whole process for 2 s.
func TestClosingAConnectionDoesNotSpin(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() { _, _ = b.Read(make([]byte, 1024)) }()
	c, err := openConn(slowCloseConn{a})
	if err != nil {
		t.Fatal(err)
	}
	reading := make(chan struct{})
	go func() {
		_, _ = c.waitReadable(silentAfter)
		close(reading)
	}()
	// Gives the reader time to block.
	time.Sleep(50 * time.Millisecond)
	began := processorTime(t)
	c.close()
	<-reading
	if spent := processorTime(t) - began; spent > closeDelay/3 {
		t.Errorf("closing used %v of processor time in %v", spent, closeDelay)
	}
}
