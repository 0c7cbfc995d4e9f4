// Package operator defines the messages of the operator endpoint and a client for it.
//
// The endpoint and the command line share these types, which keeps them consistent. The client
// is stateless and retries a call only at another address. An error is a typed fault with the
// code that the instance returned.
package operator
