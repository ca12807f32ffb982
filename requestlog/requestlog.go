// Package requestlog filters the logs of hosts for one request. It selects the lines
// with the request's id, the ends of the stage calls that carried its pieces, and
// the state changes of the endpoints that it used.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	// At is when the host wrote the line.
	At cicadapitch.Instant
	// Text is the line as read, with any prefix before its JSON object.
	Text string

	fields fields
}

// fields holds the fields of a log line that Filter and Losses use.
type fields struct {
	At       cicadapitch.Instant
	Message  string
	ID       cicadapitch.RequestID `json:"Id"`
	IDs      []string              `json:"Ids"`
	Endpoint cicadapitch.EndpointID
	Service  string
	Call     uint64
	Route    string
	Loss     string
	TookMs   cicadapitch.Millis
}

// Filter reads the combined logs of hosts from r and returns the lines about the request
// with the given id, sorted by time. The state changes of the request's endpoints are
// included from endpointLookback before its first line until its last line. Filter
// returns an error if no line has that id, and bufio.ErrTooLong if a line is longer
// than 1 MiB.
func Filter(r io.Reader, id cicadapitch.RequestID) ([]Line, error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	var matched []Line
	endpoints := map[cicadapitch.EndpointID]bool{}
	calls := map[string]bool{}
	for _, l := range lines {
		if l.fields.ID != id && !slices.Contains(l.fields.IDs, string(id)) {
			continue
		}
		matched = append(matched, l)
		if l.fields.Endpoint != "" {
			endpoints[l.fields.Endpoint] = true
		}
		if l.fields.Call != 0 {
			calls[l.callKey()] = true
		}
	}
	if len(matched) == 0 {
		return nil, fmt.Errorf("the log has no line of request %s; add the logs of the other hosts", id)
	}
	from, to := timeRange(matched)
	for _, l := range lines {
		callEnd := l.fields.Message == "stage call ended" && calls[l.callKey()]
		endpointChange := strings.HasPrefix(l.fields.Message, "endpoint") && endpoints[l.fields.Endpoint] && l.At <= to
		if callEnd || endpointChange && l.At >= from-cicadapitch.Instant(endpointLookback) {
			matched = append(matched, l)
		}
	}
	sortByTime(matched)
	return matched, nil
}

// sortByTime sorts lines by the time at which their hosts wrote them.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// endpointLookback is how far before the request's first line Filter includes state
// changes of its endpoints.
const endpointLookback cicadapitch.Millis = 10_000

// callKey identifies a stage call by shard, number and endpoint. Each owner of a shard
// numbers its calls from the start, so calls of different owners may still have the
// same key, but rarely.
func (l Line) callKey() string {
	return fmt.Sprintf("%s/%d/%s", l.fields.Service, l.fields.Call, l.fields.Endpoint)
}

// timeRange returns the times of the earliest and the latest of lines, which must not be
// empty.
func timeRange(lines []Line) (from, to cicadapitch.Instant) {
	from, to = lines[0].At, lines[0].At
	for _, l := range lines {
		from, to = min(from, l.At), max(to, l.At)
	}
	return from, to
}

// readLines reads log lines. The JSON object of a line starts at its first brace;
// text before it, such as a host's name, stays in Text. Lines without a JSON object
// are skipped.
func readLines(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := Line{Text: s.Text()}
		if json.Unmarshal(s.Bytes()[i:], &l.fields) != nil {
			continue // not a log line of a host
		}
		l.At = l.fields.At
		out = append(out, l)
	}
	return out, s.Err()
}
