// Package frontoperator is the HTTP endpoint for operators: health, duties, metrics and the
// decisions about a request.
package frontoperator
