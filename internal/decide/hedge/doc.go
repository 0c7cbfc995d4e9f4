// Package hedge decides when a call to a backend server is slow enough for a second call to another server,
// and whether that can help. The load that it handles is a few slow servers in a fleet of sound ones.
//
// It owns the learned times to the first answer for each route and size class, and the recent calls of a
// service. It performs no I/O and reads no clock. It never decides whether a slot is free or whether the
// budget allows a second call; package schedule and package retry do. Without enough samples it knows no time,
// and no call counts as slow.
package hedge
