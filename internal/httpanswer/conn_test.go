package httpanswer_test

import (
	"io"
	"net"
	"testing"

	"github.com/go-faster/errors"

	"briaryard/internal/httpanswer"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client *httpanswer.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return httpanswer.NewConn(c.(*net.TCPConn)), s.(*net.TCPConn)
}

// writeUntilError writes to a connection whose other end reads nothing until a write fails.
func writeUntilError(c io.Writer) {
	part := make([]byte, 64<<10)
	for {
		if _, err := c.Write(part); err != nil {
			return
		}
	}
}

// Guards against a reset that only a write is told about: the read after it would find the end of the data, also
// where the request has been written, or partly written, before the answer is read.
func TestAResetSeenByAWriteIsNoEnd(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	_, _ = server.SetLinger(0), server.Close()
	writeUntilError(client)
	data, err := io.ReadAll(client)
	if string(data) != "part" || err == nil {
		t.Fatalf("read %q, %v; want the part and an error", data, err)
	}
}

// Guards against the end of a server's side that is taken for a loss because the server then closes the connection
// and resets it when more of the request arrives.
func TestTheEndBeforeAResetIsTheEnd(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write([]byte("whole")); err != nil {
		t.Fatal(err)
	}
	_, _ = server.CloseWrite(), server.Close()
	writeUntilError(client)
	if data, err := io.ReadAll(client); string(data) != "whole" || err != nil {
		t.Fatalf("read %q, %v; want the whole and no error", data, err)
	}
}

// Guards against a read that waits, at the end of the server's side, for a write that the server holds up.
func TestTheEndDoesNotWaitForAWrite(t *testing.T) {
	client, server := connect(t)
	writing := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 64<<20))
		writing <- err
	}()
	// Once a part has arrived, the write is in progress.
	if _, err := io.ReadFull(server, make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	if err := server.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read ended with %v, want the end", err)
	}
	_ = client.Close()
	if err := <-writing; err == nil {
		t.Fatal("the server did not hold up the write")
	}
}
