package frontoperator

import (
	_ "embed"
	"html/template"
	"net/http"
	"time"

	"briaryard/internal/httpserve"
	"briaryard/internal/operator"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("status").Funcs(template.FuncMap{
	"since": func(t time.Time) string { return time.Since(t).Round(time.Second).String() },
}).Parse(pageText))

// getPage answers with the status page in HTML.
func (s *Service) getPage(w http.ResponseWriter, r *http.Request) {
	p, f := s.requestSnapshot(r.Context())
	if f != nil {
		httpserve.WriteProblem(w, f, "")
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'none'; frame-ancestors 'none'")
	_ = page.Execute(w, struct {
		operator.Status
		History operator.History
		Now     time.Time
	}{s.status(p), s.history(r.Context(), p, 1), time.Now().UTC()})
}
