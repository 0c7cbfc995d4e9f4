// Package docs holds the pages of the project and the published schema of the
// configuration. It contains no logic and cannot fail.
package docs

import _ "embed"

// ConfigSchema is the JSON schema of the configuration files.
//
//go:embed config.schema.json
var ConfigSchema []byte
