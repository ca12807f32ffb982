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

// maxAnswerBytes bounds one line of an event stream and the body of an outcome.
// Either may hold a whole answer.
const maxAnswerBytes = 16 << 20

var errStreamTruncated = errors.New("the stream ended before the answer")

// readEvents reads an event stream up to its answer or error. It passes chunks
// to sink.
func readEvents(body io.Reader, sink func(entry.ChunkBody)) sendResult {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
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
	return sendResult{err: errors.Join(errStreamTruncated, lines.Err())}
}

// readEvent handles one event. It returns true with the result if the event ends
// the stream.
func readEvent(event string, data []byte, sink func(entry.ChunkBody)) (r sendResult, last bool) {
	switch event {
	case "Chunk":
		c, err := decode[entry.ChunkBody](data)
		if err != nil {
			return sendResult{err: err}, true
		}
		sink(c)
	case "Answer":
		b, err := decode[entry.AnswerBody](data)
		return sendResult{answer: answerFromBody(b), err: err, fromHost: err == nil}, true
	case "Error":
		e, err := decode[entry.APIError](data)
		if err != nil {
			return sendResult{err: err}, true
		}
		return sendResult{err: errorFromBody(e), fromHost: true}, true
	}
	return sendResult{}, false
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// answerFromBody converts the body of an answer.
func answerFromBody(b entry.AnswerBody) cicadapitch.Answer {
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
