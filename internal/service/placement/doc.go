// Package placement is the service that gives orders to engines while this instance holds the
// placement lease.
//
// One duty runs decide/placement. It follows the membership and the configuration on every
// instance, so that a new holder knows the engines, and gives orders only with a lease of the
// control group whose time has not run out by this instance's clock. The engine client checks
// that time once more before it writes. Without a placement declaration there is no lease and
// nothing happens. When the lease lapses, or the membership is not settled, no order is given.
package placement
