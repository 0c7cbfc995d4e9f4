// Package config is the service that holds the configuration in force at this instance.
//
// One duty receives accepted configurations from the control client, parses them and publishes
// them to the other services. Published revisions only increase.
package config
