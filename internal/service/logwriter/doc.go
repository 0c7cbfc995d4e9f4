// Package logwriter is the service that writes log lines without blocking the goroutine that logs.
//
// It owns a bounded ring of lines. A line that is logged while the ring is full is dropped and
// counted; the count is logged as an event of its own after the next write.
package logwriter
