// Package controlclient is the service that reaches the control group from any instance.
package controlclient
