package trust

import (
	"os"
	"strings"

	"briaryard/internal/fault"
)

// TeamTokens reads a file in the format of ParseTokens and returns the token of each team, for
// clients that send it. If a team has several tokens, the first one is returned.
func TeamTokens(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.FileUnreadable{Path: path, Err: err}
	}
	if _, f := ParseTokens(string(data)); f != nil {
		return nil, f
	}
	tokens := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == RoleTeam && tokens[f[1]] == "" {
			tokens[f[1]] = f[2]
		}
	}
	return tokens, nil
}
