// Package admission decides how many free slots of a service a request must leave for more urgent ranks.
//
// The load that it handles is the overload of a service by ranks whose requests hold their slots for very
// different times. A free slot alone is no reason to admit a request that holds it for seconds: more urgent
// requests that arrive in that time are then refused. A Load holds the demand of one rank, an Outlook compares
// the demand with the times at which running work ends, up to the time for which a candidate holds its slot.
//
// The package holds no queue and grants nothing. It performs no I/O and reads no clock. Its state is soft: after a
// loss, as on a change of the dispatcher, the first arrivals rebuild it, and until then less is held back.
package admission
