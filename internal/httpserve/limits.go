package httpserve

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"briaryard/internal/decide/intake"
	"briaryard/internal/fault"
)

// Limits bound what callers may hold before their requests are known, over all listeners of the process. A value
// of 0 stands for the default.
type Limits struct {
	MaxHeaderBytes    int           `help:"Largest header section of a request in bytes, with 4096 more for separators (1024 to 65536). A limit in the configuration of the platform replaces it." env:"BRIARYARD_MAX_HEADER_BYTES" default:"16384"`
	MaxHeaderLines    int           `help:"Largest number of header lines of a request (64 to 65536)." env:"BRIARYARD_MAX_HEADER_LINES" default:"1024"`
	MaxEmptyLineBytes int           `help:"Largest size of empty lines before a request in bytes; the HTTP server refuses more than 4, and any before the first request (2 to 4)." env:"BRIARYARD_MAX_EMPTY_LINE_BYTES" default:"4"`
	HeaderTimeout     time.Duration `help:"Time for a header section from its first byte (100ms to 60s)." env:"BRIARYARD_HEADER_TIMEOUT" default:"4s"`
	HeaderMemory      int64         `help:"Memory in bytes for the header sections of all connections as parsed (1048576 to 1073741824); 0 is 0.08 of the memory limit." env:"BRIARYARD_HEADER_MEMORY" default:"0"`
	MaxConnections    int           `help:"Largest number of callers' connections (16 to 1000000); 0 follows from the descriptors and the memory limit." env:"BRIARYARD_MAX_CONNECTIONS" default:"0"`
	MaxPerAddress     int           `name:"max-connections-per-address" help:"Largest number of connections from one address (1 to 1000000); 0 is no limit." env:"BRIARYARD_MAX_CONNECTIONS_PER_ADDRESS" default:"0"`
	MaxDescriptors    int           `help:"Number of descriptors from which the limit of connections follows (128 to 1048576); 0 is the limit of the system for the process." env:"BRIARYARD_MAX_DESCRIPTORS" default:"0"`
}

// Check reports settings that are out of their range.
func (l *Limits) Check(invalid func(setting, reason string)) {
	within := func(setting string, value, low, high int64, unset bool, reason string) {
		if (value != 0 || !unset) && (value < low || value > high) {
			invalid(setting, "must be "+reason)
		}
	}
	within("--max-header-bytes", int64(l.MaxHeaderBytes), 1024, intake.MaxHeaderBytes, true, "from 1024 to 65536")
	within("--max-header-lines", int64(l.MaxHeaderLines), 64, 65536, true, "from 64 to 65536")
	within("--max-empty-line-bytes", int64(l.MaxEmptyLineBytes), 2, intake.EmptyLineBytes, true, "from 2 to 4")
	within("--header-timeout", int64(l.HeaderTimeout), int64(100*time.Millisecond), int64(time.Minute), true, "from 100ms to 60s")
	within("--header-memory", l.HeaderMemory, 1<<20, 1<<30, true, "0 or from 1048576 to 1073741824")
	within("--max-connections", int64(l.MaxConnections), 16, 1e6, true, "0 or from 16 to 1000000")
	within("--max-connections-per-address", int64(l.MaxPerAddress), 1, 1e6, true, "0 or from 1 to 1000000")
	within("--max-descriptors", int64(l.MaxDescriptors), 128, 1<<20, true, "0 or from 128 to 1048576")
}

// CheckFaults returns the faults of Check.
func (l *Limits) CheckFaults() []error {
	var faults []error
	l.Check(func(setting, reason string) {
		faults = append(faults, &fault.InvalidSetting{Setting: setting, Reason: reason})
	})
	return faults
}

// resolve returns the limits with the defaults for a process with a memory limit in bytes; 0 is no limit.
func (l Limits) resolve(memory int64) Limits {
	setDefault(&l.MaxHeaderBytes, intake.DefaultHeaderBytes)
	setDefault(&l.MaxHeaderLines, intake.DefaultHeaderLines)
	setDefault(&l.MaxEmptyLineBytes, intake.EmptyLineBytes)
	setDefault(&l.HeaderTimeout, intake.DefaultHeaderTime)
	setDefault(&l.HeaderMemory, intake.SectionBudget(memory))
	if l.MaxDescriptors == 0 {
		l.MaxDescriptors = systemDescriptors()
	}
	setDefault(&l.MaxConnections, intake.ConnectionLimit(l.MaxDescriptors, memory))
	return l
}

func setDefault[T comparable](value *T, preset T) {
	var unset T
	if *value == unset {
		*value = preset
	}
}

// unknownDescriptors applies where the system does not tell its limit.
const unknownDescriptors = 1024

// systemDescriptors returns the number of descriptors that the process may open. The Go runtime has raised the
// limit of the process to the highest one allowed.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// heapShare is the share of the memory of a process that the garbage collector is usually told as its limit.
const heapShare = 0.7

// MemoryFromRuntime returns the memory of a process whose garbage collector has a limit (GOMEMLIMIT), or 0.
func MemoryFromRuntime() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return int64(float64(limit) / heapShare)
}
