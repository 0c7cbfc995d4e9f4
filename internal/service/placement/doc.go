// Package placement is the service that gives orders to engines while this instance holds the
// placement lease.
//
// One duty runs decide/placement.Machine. It tracks the membership and the configuration on every
// instance, so that a new holder of the lease knows the engines. It gives orders only with a lease
// of the control group that has not expired by this instance's clock; the engine client checks the
// expiry again before it writes. If the configuration has no placement section, there is no lease
// and the duty does nothing. While the lease has lapsed or the membership is not settled, it gives
// no orders.
package placement
