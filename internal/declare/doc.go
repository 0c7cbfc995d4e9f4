// Package declare reads the fleet configuration from its YAML form and checks it.
//
// It defines the file format, the table of fields, the exceptions and the canonical document
// into which several files are merged. It performs no I/O and does not read the clock: it
// converts bytes to a model.Config or to the list of all errors, each with file, line and
// field. A document with an error yields no configuration.
package declare
