// Package declare reads the fleet configuration from its YAML form and checks it.
//
// It does no input or output: it turns bytes into a model.Config or into typed failures.
package declare
