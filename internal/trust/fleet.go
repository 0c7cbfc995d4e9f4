package trust

import (
	"os"
	"strings"
	"time"

	"briaryard/internal/fault"
)

// FleetTokens holds the shared tokens with which the instances of a fleet authenticate to each
// other. There is more than one while the token is being rotated.
type FleetTokens struct{ current func() []string }

// LoadFleetTokens reads the tokens from a file, one per line, and reloads them when the file
// changes. Empty lines and lines that begin with # are skipped. If path is empty, text is the only
// token.
func LoadFleetTokens(path, text string, report Report) (*FleetTokens, error) {
	if path == "" {
		return &FleetTokens{func() []string { return []string{text} }}, nil
	}
	source, err := newReloadable(report, func() ([]string, error) {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		return parseFleetTokens(string(data))
	}, path)
	if err != nil {
		return nil, &fault.InvalidSetting{Setting: "--fleet-token-file", Reason: err.Error()}
	}
	return &FleetTokens{func() []string {
		tokens, _ := source.get(time.Now()) // cannot fail after the first read
		return tokens
	}}, nil
}

// parseFleetTokens returns the tokens in text and fails if there is none.
func parseFleetTokens(text string) ([]string, error) {
	var tokens []string
	for line := range strings.Lines(text) {
		switch f := strings.Fields(line); {
		case len(f) == 0 || strings.HasPrefix(f[0], "#"):
		case len(f) == 1:
			tokens = append(tokens, f[0])
		default:
			return nil, &fault.InvalidSetting{Setting: "fleet tokens", Reason: "want one token in a line"}
		}
	}
	if len(tokens) == 0 {
		return nil, &fault.InvalidSetting{Setting: "fleet tokens", Reason: "want at least one token"}
	}
	return tokens, nil
}

// Tokens returns the current tokens, at least one. The first one is sent, and all are accepted.
func (t *FleetTokens) Tokens() []string { return t.current() }
