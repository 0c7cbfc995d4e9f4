package trust

import (
	"os"
	"strings"

	"briaryard/internal/fault"
)

// TeamTokens reads the tokens that callers send from a file with the lines that ParseTokens reads.
// Of several tokens of a team the first counts.
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
