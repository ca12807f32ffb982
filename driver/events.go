package driver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

const (
	// maxEventLineBytes bounds one line of the event stream.
	maxEventLineBytes = 1 << 20
	doneEvent         = "[DONE]"
)

var errStreamTruncated = errors.New("the stream ended before its last event")

// completionChunk is the data of one event. Choices holds the next part of the
// text, Error an error of the engine.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// ReadCompletion reads the server-sent events of a completion from r and calls
// sink with the text of each chunk that has any. It returns nil only after the
// final [DONE] event, after which it reads no further, and an error if the stream ends before it, holds a
// malformed chunk or reports an error of the engine.
func ReadCompletion(r io.Reader, sink func(text string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			return nil
		}
		if err := handleChunk(data, sink); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errs.Wrap(err)
	}
	return errStreamTruncated
}

// handleChunk decodes the data of one event and passes its text to sink.
func handleChunk(data []byte, sink func(text string)) error {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errs.New("a chunk is not JSON: %v", err)
	}
	if c.Error != nil {
		return errs.New("the engine reports: %s", c.Error.Message)
	}
	if len(c.Choices) > 0 && c.Choices[0].Text != "" {
		sink(c.Choices[0].Text)
	}
	return nil
}
