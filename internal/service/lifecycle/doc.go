// Package lifecycle is the service that runs the graceful stop of an instance.
//
// The stop sequence leaves the address list, waits until the lists that name the instance
// have run out, refuses new requests, gives leases up and waits for every answer in
// progress. No time limit ends it: an answer that takes long is not cut off.
package lifecycle
