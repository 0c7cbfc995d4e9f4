// Package model holds the value types that decisions, services and front ends share.
//
// It does no input or output, holds no locks and reads no clock.
package model
