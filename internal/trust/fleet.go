package trust

import (
	"os"
	"strings"
	"time"

	"briaryard/internal/fault"
)

// FleetTokens are the tokens by which the instances of a fleet know each other. There are several
// while the token is changed.
type FleetTokens struct{ current func() []string }

// LoadFleetTokens reads the tokens of a file, one a line, and follows its changes. Empty lines and
// lines that begin with # are skipped. Without a file the given text is the only token.
func LoadFleetTokens(path, text string, report Report) (*FleetTokens, error) {
	if path == "" {
		return &FleetTokens{func() []string { return []string{text} }}, nil
	}
	w, err := watch(report, func() ([]string, error) {
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
		tokens, _ := w.get(time.Now()) // cannot fail after the first read
		return tokens
	}}, nil
}

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

// Tokens returns the present tokens, at least one. The first is sent, all are accepted.
func (t *FleetTokens) Tokens() []string { return t.current() }
