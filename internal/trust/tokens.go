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

// TeamHeader names the team of a request.
const TeamHeader = "Briaryard-Team"

// Roles of tokens.
const (
	RoleTeam     = "team"
	RoleOperator = "operator"
	RoleServer   = "backend-server"
)

// entry is one token; name is the team's.
type entry struct {
	role, name string
	hash       [sha256.Size]byte
}

// Tokens are the accepted tokens. A role without any token is open.
type Tokens struct{ entries []entry }

// ParseTokens reads lines of the form "team NAME TOKEN", "operator TOKEN" or
// "backend-server TOKEN". Empty lines and lines that begin with # are skipped.
func ParseTokens(text string) (*Tokens, fault.Fault) {
	t := &Tokens{}
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		switch {
		case len(f) == 0 || strings.HasPrefix(f[0], "#"):
		case f[0] == RoleTeam && len(f) == 3:
			t.entries = append(t.entries, entry{role: f[0], name: f[1], hash: sha256.Sum256([]byte(f[2]))})
		case (f[0] == RoleOperator || f[0] == RoleServer) && len(f) == 2:
			t.entries = append(t.entries, entry{role: f[0], hash: sha256.Sum256([]byte(f[1]))})
		default:
			return nil, &fault.InvalidSetting{Setting: "tokens", Reason: "a line does not have the expected form"}
		}
	}
	return t, nil
}

// find returns the name that a token of a role belongs to. It compares with every token of
// the role, so that the time does not depend on the token.
func (t *Tokens) find(role, token string) (name string, ok, open bool) {
	hash := sha256.Sum256([]byte(token))
	open = true
	for _, e := range t.entries {
		if e.role != role {
			continue
		}
		open = false
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			name, ok = e.name, true
		}
	}
	return name, ok, open
}

// TokenSource holds the tokens of a file and of a setting, and follows changes of the file.
type TokenSource struct{ current func() *Tokens }

// LoadTokens reads the tokens. The file may be empty.
func LoadTokens(path, text string, report Report) (*TokenSource, error) {
	if path == "" {
		t, f := ParseTokens(text)
		if f != nil {
			return nil, f
		}
		return &TokenSource{func() *Tokens { return t }}, nil
	}
	w, err := watch(report, func() (*Tokens, error) {
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
		t, _ := w.get(time.Now()) // cannot fail after the first read
		return t
	}}, nil
}

// Guard refuses requests without a token of the role. A team's token sets the team header,
// and a request that names another team is refused.
func (s *TokenSource) Guard(role string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			t := s.current()
			token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			name, ok, open := t.find(role, token)
			if !open {
				named := r.Header.Get(TeamHeader)
				if !ok || !bearer || role == RoleTeam && named != "" && named != name {
					httpserve.WriteProblem(w, &fault.Unauthorized{Role: role}, "")
					return
				}
				if role == RoleTeam {
					r.Header.Set(TeamHeader, name)
				}
			}
			next.ServeHTTP(w, r)
		})
	}
}
