// Package frontoperator is the HTTP endpoint for operators: health, duties, members, leases,
// voters, configuration, metrics, the decisions about a request, and a status page.
//
// One duty owns the snapshot of the fleet's state and answers each handler through a ring that
// belongs to the handler. The package makes no decisions about requests, and it writes to the
// control group only on an operator's request. When the control group does not answer, reads use
// the last snapshot and changes end in a typed failure.
package frontoperator
