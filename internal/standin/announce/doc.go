// Package announce registers a stand-in backend server with an instance and sends heartbeats.
package announce
