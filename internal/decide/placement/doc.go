// Package placement decides which engine loads or unloads which model or adapter.
//
// Machine owns what one instance knows of the engines' models, the outstanding orders and the
// demand of the pools. It follows the engines on every instance and decides only while the
// instance holds the placement lease and its time has not run out. It gives an engine one
// order at a time and keeps that order until the engine's announced state settles it, also
// when the result of sending it is unknown. It does no input or output and reads no clock.
//
// When no engine can be found, or a rule forbids the change, nothing happens and the reason is
// part of the state that operators see.
package placement
