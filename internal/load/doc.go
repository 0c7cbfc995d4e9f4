// Package load is an open-loop load generator for a fleet, and the judge of what came back.
//
// Arrivals follow a seeded schedule and do not wait for answers. Callers ask the fleet which
// addresses to use, keep that list for its time to live, and retry as the mix says. The
// judge checks every answer against what the stand-in backend servers executed: whole, its
// own, in time, run at most once, and refused truthfully. It expects the answers of the
// stand-in engine and the stand-in booking service, and loads loopback addresses only.
package load
