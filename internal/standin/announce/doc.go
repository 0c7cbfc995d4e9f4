// Package announce lets a stand-in backend server announce itself and send heartbeats.
package announce
