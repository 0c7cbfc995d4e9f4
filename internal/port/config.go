package port

import "briaryard/internal/model"

// ConfigName is the name of the service that holds the configuration in force.
const ConfigName = "config"

// Config publishes the configuration in force.
type Config interface {
	// Subscribe registers a receiver of configurations. It is called during Provision.
	Subscribe(sink func(*model.Config))
}
