//go:build review2

package standins

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases maps the name of a case to its play. It gets whether the disruption is played.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"false-ack": playFalseAck,
}

// TestMain plays one case; the program is compiled from test files, as the stand-ins of the earlier review are.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(cannot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	// The processes of the project end with this one.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		r.close()
		os.Exit(cannot)
	}()
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("case", "could not run: %v", err)
		code = cannot
	}
	r.line("case", "ends with %d", code)
	r.close()
	fmt.Println(os.Args[1], "ends with", code)
	os.Exit(code)
}
