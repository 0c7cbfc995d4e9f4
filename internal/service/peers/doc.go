// Package peers is the service that connects this instance to the others.
package peers
