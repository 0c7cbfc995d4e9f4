// Package entry is the service that owns the requests of this instance.
//
// One duty runs decide/entry.Machine and executes its effects. Front ends, the dispatch router,
// the transfer service and the control client put messages in its ring. If the process dies,
// requests that were not dispatched have not run.
package entry
