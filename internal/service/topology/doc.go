// Package topology is the service that keeps this instance connected to the core instances.
//
// It owns the list of core instances: the members of the control group as the leader names them,
// and the contacts of the settings while no leader is known. Instances that take requests have no
// connections among each other, so that their number does not add to what one of them does. When
// the leader is lost for longer, the contacts are read again, because the settings may name others
// by then.
package topology
