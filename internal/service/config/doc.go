// Package config is the service that holds the configuration in force at this instance.
//
// One duty takes accepted configurations from the control client, reads them and publishes
// them to the other services. It never publishes a revision lower than one it has published.
package config
