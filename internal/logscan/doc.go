// Package logscan reads the structured log lines of a fleet's processes, to follow one request across
// them and to sum up what became of all.
//
// It reads files only and keeps nothing between calls. Lines that are no log lines are counted and passed
// over, so that logs may be mixed with other output and each line may begin with a time and a process's
// name. A result is only as complete as the logs: log.dropped lines say that some are missing.
package logscan
