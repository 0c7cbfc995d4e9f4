package logscan

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/model"
)

// contextBefore is how long before a request its inputs may have changed last.
const contextBefore = 10 * time.Second

// Story is what the logs say about one request.
type Story struct {
	// Records are the lines about the request in order of time.
	Records []Record
	// Context are the lines about its backend servers and its instances' dispatcher, configuration and
	// presence from contextBefore the request until its end.
	Context []Record
	// Dropped counts the log.dropped lines in that time: if there are any, lines may be missing.
	Dropped int
}

// contextEvents are the events that change the inputs of decisions.
var contextEvents = map[int]bool{
	event.RoutedServer.Number: true, event.ServerSaid.Number: true, event.AllocateFollows.Number: true, event.RoutesInForce.Number: true,
	event.PresenceChanged.Number: true, event.ControlLeads.Number: true, event.PeerDown.Number: true,
}

// Explain collects the lines about a request, named by its id or by its caller's attempt id. open opens
// the logs anew; it is called twice.
func Explain(id string, open func() (io.ReadCloser, error)) (*Story, error) {
	s := &Story{}
	ids := map[string]bool{id: true}
	// A request is named by an attempt at the entry only: the first pass finds the request id.
	err := scanAll(open, func(line []byte) bool { return bytes.Contains(line, []byte(id)) }, func(r Record) {
		if ids[r.Text("attempt")] || ids[r.Text("request")] {
			ids[r.Text("request")] = true
		}
	})
	if err != nil {
		return nil, err
	}
	for _, request := range slices.Collect(maps.Keys(ids)) {
		if second, ok := secondCall(request); ok {
			ids[second] = true
		}
	}
	var context []Record
	err = scanAll(open, func([]byte) bool { return true }, func(r Record) {
		switch {
		case r.Text("request") != "" && ids[r.Text("request")], r.Text("attempt") != "" && ids[r.Text("attempt")]:
			s.Records = append(s.Records, r)
		case contextEvents[r.Number], r.is(event.LogDropped):
			context = append(context, r)
		}
	})
	if err != nil || len(s.Records) == 0 {
		return s, err
	}
	sortByTime(s.Records)
	s.selectContext(context)
	return s, nil
}

// selectContext keeps the records that can have decided about the request.
func (s *Story) selectContext(context []Record) {
	servers, processes := make(map[string]bool), make(map[string]bool)
	for i := range s.Records {
		servers[s.Records[i].Text("backend_server")] = true
		processes[s.Records[i].Process] = true
	}
	from, to := s.Records[0].Time.Add(-contextBefore), s.Records[len(s.Records)-1].Time
	for _, r := range context {
		if r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		server := r.Text("backend_server")
		switch {
		case r.is(event.LogDropped):
			s.Dropped++
		case server != "" && servers[server], server == "" && processes[r.Process]:
			s.Context = append(s.Context, r)
		}
	}
	sortByTime(s.Context)
}

// scanAll opens and scans the logs once.
func scanAll(open func() (io.ReadCloser, error), want func([]byte) bool, take func(Record)) error {
	in, err := open()
	if err != nil {
		return err
	}
	_, err = Scan(in, want, take)
	if closeErr := in.Close(); err == nil {
		err = closeErr
	}
	return err
}

// secondCall returns the id under which the second call of a request is granted, from the text of its id. The name of
// an instance may contain slashes.
func secondCall(request string) (string, bool) {
	at := strings.LastIndexByte(request, '/') + 1
	sequence, err := strconv.ParseUint(request[at:], 10, 64)
	if err != nil || at == 0 {
		return "", false
	}
	return request[:at] + strconv.FormatUint(model.RequestID{Seq: sequence}.Hedge().Seq, 10), true
}
