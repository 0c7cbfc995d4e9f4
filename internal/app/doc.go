// Package app assembles a process: it constructs the services with fx, registers them with the
// kernel under their names, and runs the kernel's life cycle. Instance is the process of the serve
// and dev commands, Routed a process of a fleet with routes.
package app
