// Package app builds an instance: it constructs the services with fx, registers them with
// the kernel under their names, and runs the kernel's life cycle.
package app
