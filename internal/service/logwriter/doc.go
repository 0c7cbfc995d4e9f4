// Package logwriter is the service that writes log lines without holding up who logs.
//
// It owns a bounded ring of lines. A line that finds the ring full is left out and counted; the
// count is written as an event of its own once there is room again.
package logwriter
