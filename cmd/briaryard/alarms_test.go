package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"briaryard/internal/event"
	"briaryard/internal/metric"
)

// TestAlarms guards against an alarm on the operators' page that no event or metric can trigger.
// Each name in the first column of the table must be a metric, a label value of a metric beside
// it, or an event followed by its number.
func TestAlarms(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Alarms\n")
	if !found {
		t.Fatal("the page has no section on alarms")
	}
	metrics, events, labelValues := map[string]bool{}, map[string]int{}, map[string]bool{}
	for _, d := range metric.Table() {
		metrics[d.Name] = true
	}
	for _, d := range event.Table() {
		events[d.Name] = d.Number
	}
	for _, m := range failureTable() {
		labelValues[string(m.Code)] = true
	}
	// gone is a state of a backend server in the event server.state.
	labelValues["gone"] = true
	name := regexp.MustCompile("`([^`]+)`(?: \\((\\d+)\\))?")
	rows := 0
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || strings.HasPrefix(cells[1], "---") || strings.TrimSpace(cells[1]) == "alarm" {
			continue
		}
		rows++
		known := 0
		for _, m := range name.FindAllStringSubmatch(cells[1], -1) {
			number, isEvent := events[m[1]]
			switch {
			case isEvent && m[2] != strconv.Itoa(number):
				t.Errorf("event %s has number %d, the page says %q", m[1], number, m[2])
			case isEvent, metrics[m[1]]:
				known++
			case !labelValues[m[1]]:
				t.Errorf("%s is not an event, metric or failure: %s", m[1], line)
			}
		}
		if known == 0 && !strings.Contains(cells[1], "health answers 503") {
			t.Errorf("the alarm names no event or metric: %s", line)
		}
	}
	if rows < 10 {
		t.Errorf("%d alarms read", rows)
	}
}
