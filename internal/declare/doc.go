// Package declare reads the fleet configuration from its YAML form and checks it.
//
// It owns the form of the files, the table of fields, the exceptions and the canonical
// document that several files merge into. It does no input or output and never reads the
// clock: it turns bytes into a model.Config or into the list of all faults, each with file,
// line and field. A document with a fault yields no configuration at all.
package declare
