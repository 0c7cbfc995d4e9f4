// Package placement decides which engine loads or unloads which model or adapter.
//
// Machine holds what one instance knows of the engines' models, the outstanding orders and the
// demand of the pools. It tracks the engines on every instance, but issues orders only while the
// instance holds a placement lease that has not expired. It issues one order at a time to an
// engine and keeps it until the engine's announced state settles it, also when the result of
// sending it is unknown. It performs no I/O and reads no clock.
//
// When no engine is suitable, or a rule forbids the change, no order is issued and the reason is
// part of the state that operators see.
package placement
