package trust

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
)

// TeamHeader is the name of the header that carries the team of a request.
const TeamHeader = "Briaryard-Team"

// Roles that a token can grant.
const (
	RoleTeam     = "team"
	RoleOperator = "operator"
	RoleServer   = "backend-server"
)

// tokenEntry is one accepted token. team is set only for RoleTeam.
type tokenEntry struct {
	role, team string
	hash       [sha256.Size]byte
}

// Tokens holds the accepted tokens. A role without any token needs no authentication.
type Tokens struct{ entries []tokenEntry }

// ParseTokens parses lines of the form "team NAME TOKEN", "operator TOKEN" or
// "backend-server TOKEN". Empty lines and lines that begin with # are skipped.
func ParseTokens(text string) (*Tokens, fault.Fault) {
	t := &Tokens{}
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		switch {
		case len(f) == 0 || strings.HasPrefix(f[0], "#"):
		case f[0] == RoleTeam && len(f) == 3:
			t.entries = append(t.entries, tokenEntry{role: f[0], team: f[1], hash: sha256.Sum256([]byte(f[2]))})
		case (f[0] == RoleOperator || f[0] == RoleServer) && len(f) == 2:
			t.entries = append(t.entries, tokenEntry{role: f[0], hash: sha256.Sum256([]byte(f[1]))})
		default:
			return nil, &fault.InvalidSetting{Setting: "tokens", Reason: "a line does not have the expected form"}
		}
	}
	return t, nil
}

// find returns the team that a token of a role belongs to and whether the token is accepted. open
// reports that the role has no tokens. find compares the token with every token of the role, so
// that the time does not depend on the token.
func (t *Tokens) find(role, token string) (team string, ok, open bool) {
	hash := sha256.Sum256([]byte(token))
	open = true
	for _, e := range t.entries {
		if e.role != role {
			continue
		}
		open = false
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			team, ok = e.team, true
		}
	}
	return team, ok, open
}

// TokenSource provides the accepted tokens of a file and of a setting, and reloads the file when it
// changes.
type TokenSource struct{ current func() *Tokens }

// LoadTokens loads the tokens of the file at path and those in text. If path is empty, only text
// is used.
func LoadTokens(path, text string, report Report) (*TokenSource, error) {
	if path == "" {
		t, f := ParseTokens(text)
		if f != nil {
			return nil, f
		}
		return &TokenSource{func() *Tokens { return t }}, nil
	}
	source, err := newReloadable(report, func() (*Tokens, error) {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		t, f := ParseTokens(text + "\n" + string(data))
		if f != nil {
			return nil, f
		}
		return t, nil
	}, path)
	if err != nil {
		return nil, &fault.InvalidSetting{Setting: "--tokens-file", Reason: err.Error()}
	}
	return &TokenSource{func() *Tokens {
		t, _ := source.get(time.Now()) // cannot fail after the first read
		return t
	}}, nil
}

// Guard returns HTTP middleware that rejects requests without an accepted token of the role. For
// RoleTeam it sets the team header to the team of the token, and rejects a request whose header
// names another team. If the role has no tokens, requests pass unchanged.
func (s *TokenSource) Guard(role string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			t := s.current()
			token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			team, ok, open := t.find(role, token)
			if !open {
				requested := r.Header.Get(TeamHeader)
				if !ok || !bearer || role == RoleTeam && requested != "" && requested != team {
					httpserve.WriteProblem(w, &fault.Unauthorized{Role: role}, "")
					return
				}
				if role == RoleTeam {
					r.Header.Set(TeamHeader, team)
				}
			}
			next.ServeHTTP(w, r)
		})
	}
}
