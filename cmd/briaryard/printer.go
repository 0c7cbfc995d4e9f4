package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"briaryard/internal/operator"
	"briaryard/internal/trust"
)

// printer writes answers.
type printer struct {
	out  io.Writer
	err  io.Writer
	json bool
}

// answer writes a message as JSON, or calls text to write it for a person.
func (p *printer) answer(message any, text func()) error {
	if !p.json {
		text()
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(message)
}

func (p *printer) line(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format+"\n", args...) }

// progress writes to the error stream, so that the answer stays readable for programs.
func (p *printer) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(p.err, format+"\n", args...)
}

// table writes rows in columns, the first as a heading.
func (p *printer) table(rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// remote is the choice of the instance that a command talks to.
type remote struct {
	operatorTrust
	Address []string `help:"Operator address (host:port) of an instance. Give several, separated by commas, to try them in order." env:"BRIARYARD_OPERATOR" default:"127.0.0.1:8082"`
}

func (r *remote) client() *operator.Client { return r.to(r.Address) }

// operatorTrust says how calls to the operator address are secured. The token has no flag,
// because other users of the machine can read the arguments of a command.
type operatorTrust struct {
	OperatorCA string `name:"operator-ca" help:"Certificate file (PEM) of the authority of the instances; with it calls use TLS." env:"BRIARYARD_OPERATOR_CA"`
	TokenFile  string `name:"operator-token-file" help:"File with the operator's token; without it the environment variable BRIARYARD_OPERATOR_TOKEN is used." env:"BRIARYARD_OPERATOR_TOKEN_FILE"`
	outgoing   *trust.Outgoing
}

// AfterApply reads the files once the command line has been parsed.
func (o *operatorTrust) AfterApply() error {
	var err error
	o.outgoing, err = trust.LoadOutgoing(trust.OutgoingFiles{
		Authority: o.OperatorCA, TokenFile: o.TokenFile, Token: os.Getenv("BRIARYARD_OPERATOR_TOKEN"),
	})
	return err
}

func (o *operatorTrust) to(addresses []string) *operator.Client {
	return operator.NewSecuredClient(addresses, o.outgoing)
}
