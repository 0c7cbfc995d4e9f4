// Package operator defines the messages of the operator endpoint and a client for them.
//
// The endpoint and the command line share these types, so that they cannot drift apart. The
// client holds no state and retries nothing by itself except at another address; a failure is
// a typed fault with the code that the instance answered.
package operator
