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

// printer writes results to out, and progress and errors to err. With json set, results and errors
// are JSON documents.
type printer struct {
	out  io.Writer
	err  io.Writer
	json bool
}

// writeResult writes a message as JSON, or calls text to write it as text.
func (p *printer) writeResult(message any, text func()) error {
	if !p.json {
		text()
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(message)
}

func (p *printer) line(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format+"\n", args...) }

// progress writes a line to the error stream, so that the output stays machine-readable.
func (p *printer) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(p.err, format+"\n", args...)
}

// table writes rows in aligned columns; the first row is the heading.
func (p *printer) table(rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// operatorFlags holds the operator addresses that a command calls and the credentials for them.
type operatorFlags struct {
	operatorCredentials
	Address []string `help:"Operator address (host:port) of an instance. Several addresses, separated by commas, are tried in order." env:"BRIARYARD_OPERATOR" default:"127.0.0.1:8082"`
}

func (r *operatorFlags) client() *operator.Client { return r.clientFor(r.Address) }

// operatorCredentials holds the TLS and token flags for operator addresses. The token has no flag,
// because other users of the machine can read the arguments of a command.
type operatorCredentials struct {
	OperatorCA string `name:"operator-ca" help:"Certificate file (PEM) of the authority of the instances; with it calls use TLS." env:"BRIARYARD_OPERATOR_CA"`
	TokenFile  string `name:"operator-token-file" help:"File with the operator's token; without it the environment variable BRIARYARD_OPERATOR_TOKEN is used." env:"BRIARYARD_OPERATOR_TOKEN_FILE"`
	outgoing   *trust.Outgoing
}

// AfterApply reads the files once the command line has been parsed.
func (o *operatorCredentials) AfterApply() error {
	var err error
	o.outgoing, err = trust.LoadOutgoing(trust.OutgoingFiles{
		Authority: o.OperatorCA, TokenFile: o.TokenFile, Token: os.Getenv("BRIARYARD_OPERATOR_TOKEN"),
	})
	return err
}

// clientFor returns a client of operator addresses that uses the credentials.
func (o *operatorCredentials) clientFor(addresses []string) *operator.Client {
	return operator.NewSecuredClient(addresses, o.outgoing)
}
