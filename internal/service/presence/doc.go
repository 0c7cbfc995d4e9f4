// Package presence is the service that states whether this instance takes requests, and that stops
// it without cutting off an answer.
//
// It owns that state. The instance is ready while it has a configuration that counts as confirmed
// and is not being stopped. On a stop it first leaves the list that callers get, goes on taking
// requests while callers may still use an old list, then refuses new ones, waits for the open ones,
// and reports that it has finished. A time limit bounds all that, because the platform ends the
// process then.
package presence
