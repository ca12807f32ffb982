package client

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/samber/lo"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 16 << 20

var errBroken = errors.New("the stream ended before the answer")

// readEvents reads a stream up to its answer or error.
func readEvents(body io.Reader, sink func(entry.ChunkBody)) reply {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "event":
			event = value
		case "data":
			if r, last := readEvent(event, []byte(value), sink); last {
				return r
			}
		}
	}
	return reply{err: errors.Join(errBroken, lines.Err())}
}

func readEvent(event string, data []byte, sink func(entry.ChunkBody)) (r reply, last bool) {
	switch event {
	case "Chunk":
		c, err := decode[entry.ChunkBody](data)
		if err != nil {
			return reply{err: err}, true
		}
		sink(c)
	case "Answer":
		b, err := decode[entry.AnswerBody](data)
		return reply{answer: answer(b), err: err, heard: err == nil}, true
	case "Error":
		e, err := decode[entry.APIError](data)
		if err != nil {
			return reply{err: err}, true
		}
		return reply{err: typed(e), heard: true}, true
	}
	return reply{}, false
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

func answer(b entry.AnswerBody) cicadapitch.Answer {
	stages := lo.Map(b.Stages, func(s entry.StageBody, _ int) cicadapitch.StageReport {
		return cicadapitch.StageReport{
			Stage:    cicadapitch.StageID(s.Stage),
			Endpoint: cicadapitch.EndpointID(s.Endpoint),
			Zone:     cicadapitch.ZoneID(s.Zone),
			Attempts: s.Attempts,
			Queued:   cicadapitch.Millis(s.Queued),
			Served:   cicadapitch.Millis(s.Served),
			Tokens:   cicadapitch.Tokens(s.Tokens),
			Cost:     cicadapitch.Cost(s.Cost),
		}
	})
	return cicadapitch.Answer{Request: cicadapitch.RequestID(b.Request), Output: b.Output, Stages: stages}
}
