// Package topology is the service that keeps this instance connected to the core instances.
//
// It owns the list of core instances: the members of the control group as the leader lists them,
// and also the contacts of the settings while no leader is known. Instances that take requests have
// no connections among each other, so that the load of one does not grow with their number. When
// no leader is known for leaderTimeout, the contacts are read again, because the settings may have
// changed. Members of the control group stay connected to the contacts, which may be no members and would
// otherwise know none after a restart.
package topology
