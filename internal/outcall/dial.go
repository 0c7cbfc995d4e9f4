package outcall

import (
	"net"

	"github.com/go-faster/errors"
)

// NotConnected reports whether a call failed before a connection was established, so that the
// backend server cannot have received any of it.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
