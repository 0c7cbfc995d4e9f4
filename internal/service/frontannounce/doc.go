// Package frontannounce is the HTTP endpoint where backend servers announce themselves and
// send their heartbeats, load reports and cache events.
package frontannounce
