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
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
	doneEvent     = "[DONE]"
)

var errBrokenStream = errors.New("the stream ended before its last event")

type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// ReadCompletion reads the server-sent events of a completion and passes on
// the text of each chunk. It returns nil only once the last event has come.
func ReadCompletion(r io.Reader, sink func(text string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			// The endpoint counts the call as running until its response
			// has ended, which may be a little after the last event.
			_, _ = io.Copy(io.Discard, r)
			return nil
		}
		if err := passChunk(data, sink); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errs.Wrap(err)
	}
	return errBrokenStream
}

func passChunk(data []byte, sink func(text string)) error {
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
