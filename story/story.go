// Package story finds in the logs of hosts the lines that tell what became of one
// request: its own, the stage calls that carried its pieces, and what was believed
// of the endpoints that it met.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// maxLine bounds a line of the log.
const maxLine = 1 << 20

// Line is one line of a host's log.
type Line struct {
	At cicadapitch.Instant
	// Text is the line as it was found, with whatever stood before it.
	Text string

	fields fields
}

type fields struct {
	At       cicadapitch.Instant
	Message  string
	ID       cicadapitch.RequestID `json:"Id"`
	IDs      []string              `json:"Ids"`
	Endpoint cicadapitch.EndpointID
	Service  string
	Call     uint64
}

// Of returns the lines of one request in order of time.
func Of(r io.Reader, id cicadapitch.RequestID) ([]Line, error) {
	lines, err := read(r)
	if err != nil {
		return nil, err
	}
	var own []Line
	met := map[cicadapitch.EndpointID]bool{}
	calls := map[string]bool{}
	for _, l := range lines {
		if l.fields.ID != id && !slices.Contains(l.fields.IDs, string(id)) {
			continue
		}
		own = append(own, l)
		if l.fields.Endpoint != "" {
			met[l.fields.Endpoint] = true
		}
		if l.fields.Call != 0 {
			calls[l.callKey()] = true
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("the log has no line of request %s; add the logs of the other hosts", id)
	}
	from, to := span(own)
	for _, l := range lines {
		ended := l.fields.Message == "stage call ended" && calls[l.callKey()]
		belief := strings.HasPrefix(l.fields.Message, "endpoint") && met[l.fields.Endpoint] && l.At <= to
		if ended || belief && l.At >= from-cicadapitch.Instant(beliefBefore) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return int(a.At - b.At) })
	return own, nil
}

// beliefBefore is how long before a request changes of endpoints are shown.
const beliefBefore cicadapitch.Millis = 10_000

// callKey names a call. Numbers are given by the owner of a service, which the
// endpoint of the call tells apart well enough within one log.
func (l Line) callKey() string {
	return fmt.Sprintf("%s/%d/%s", l.fields.Service, l.fields.Call, l.fields.Endpoint)
}

func span(lines []Line) (from, to cicadapitch.Instant) {
	from, to = lines[0].At, lines[0].At
	for _, l := range lines {
		from, to = min(from, l.At), max(to, l.At)
	}
	return from, to
}

// read reads log lines. Text before the first brace, such as a host's name, is
// kept; lines without one are no log lines.
func read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := Line{Text: s.Text()}
		if json.Unmarshal(s.Bytes()[i:], &l.fields) != nil {
			continue // not a line of a host
		}
		l.At = l.fields.At
		out = append(out, l)
	}
	return out, s.Err()
}
