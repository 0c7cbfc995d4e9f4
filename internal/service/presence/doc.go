// Package presence is the service that publishes whether this instance accepts requests, and that
// stops it without interrupting an answer.
//
// It owns the ready state. The instance is ready while its configuration counts as confirmed and it
// is not being stopped. On a stop it first reports itself as not ready, which removes it from the
// list that callers get. It keeps accepting requests while callers may still use an old list, then
// refuses new requests, waits for the open ones, and reports that the stop is complete. A time limit
// applies to all of this, because the platform ends the process then.
package presence
