// Package transfer is the service that carries answers from backend servers to callers.
//
// One duty owns all answers in progress. Stream readers put what they receive in its ring, and it
// copies the data to the ring of each attached caller. For a caller that does not read, only its
// offset in the answer is kept, and it is detached after a time limit. If the process dies,
// answers in progress are lost, and the outcome of requests with an idempotency key is unknown.
package transfer
