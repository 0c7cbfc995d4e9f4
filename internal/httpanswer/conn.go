package httpanswer

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection to a backend server. Its Read returns io.EOF only if the server has ended its side of the
// connection, and an error if the connection was reset, timed out or was lost.
//
// The kernel reports the loss of a connection to one system call only. While a request is still being written this
// can be the write, and a read after it finds the end of the data. A body without a length would then look whole.
type Conn struct {
	// The methods of net.TCPConn that copy from and to other files are hidden: they would bypass Read and Write.
	net.Conn
	tcp *net.TCPConn
	// writing is held during a write. writeErr is the first error of a write, and writing guards it.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn that uses c.
func NewConn(c *net.TCPConn) *Conn { return &Conn{Conn: c, tcp: c} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err != io.EOF || !c.isLost() {
		return n, err
	}
	reset := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	return n, reset
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// isLost reports whether the connection was lost before the server had ended its side, after a read has found the
// end of the data. It waits for a write in progress, which may have been told about the loss: a write to a
// connection that is closed in both directions returns at once.
func (c *Conn) isLost() bool {
	if !c.isClosed() {
		return false
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	// A write fails with EPIPE if the reset came after the server had ended its side. A server that answers early
	// and reads no further ends a connection in this way.
	return c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE)
}

// isClosed reports whether the connection is closed in both directions. After the end of the server's side alone
// it is not.
func (c *Conn) isClosed() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd)}}
		for {
			_, err := unix.Poll(list, 0)
			if !errors.Is(err, unix.EINTR) {
				closed = err != nil || list[0].Revents&unix.POLLHUP != 0
				return
			}
		}
	})
	return err != nil || closed
}
