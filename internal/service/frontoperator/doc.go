// Package frontoperator is the HTTP endpoint for operators: health, duties, members, leases,
// voters, configuration, metrics, the decisions about a request, and a status page.
//
// One duty owns the picture of the fleet and answers a handler through a ring of the
// handler's own. The package decides nothing about requests and never writes to the control
// group except on an operator's word. When the control group does not answer, reads still
// work from the last picture and changes end in a typed failure.
package frontoperator
