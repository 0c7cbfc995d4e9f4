// Package lifecycle is the service that runs the graceful stop of an instance.
//
// The stop sequence removes the instance from the address list, waits until the lists that
// contain it have expired, refuses new requests, releases leases and waits for every answer in
// progress. It has no time limit, so that a long answer is not interrupted.
package lifecycle
