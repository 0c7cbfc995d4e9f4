package standins

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// limit bounds a run.
const limit = 112 * time.Second

// cases maps a case to its trial. A trial returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (held bool, err error){}

// TestMain plays the case that the arguments name. The stand-ins are test files, because the platform's names are
// allowed only in its folder and in tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func run(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	f, err := newFleet(r, 3, 1)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.stopAll()
	// A run that hangs, or is asked to end, ends what it has started.
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-asked:
		case <-time.After(limit):
		}
		f.stopAll()
		os.Exit(2)
	}()
	held, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		r.logf("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	r.logf("the rule held")
	fmt.Println("held")
	return 0
}
