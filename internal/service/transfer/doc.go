// Package transfer is the service that carries answers from backend servers to callers.
//
// One duty owns all answers in progress. Stream readers put what they receive in its ring;
// it passes the data on to the ring of each attached caller. A caller that does not read
// keeps nothing but its position in the answer and is detached after a time limit. If the
// process dies, answers in progress are lost; the outcome of keyed requests is then unknown.
package transfer
