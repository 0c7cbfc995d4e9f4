// Package model holds the value types that are shared by the decision packages, the services and
// the front ends.
//
// It performs no I/O, holds no locks and does not read the clock.
package model
