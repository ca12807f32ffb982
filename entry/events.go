package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
)

// writeTimeout limits one write to a caller that does not read.
const writeTimeout = 5 * time.Second

// eventWriter writes server-sent events. The first event sets the HTTP status.
type eventWriter struct {
	ctx        huma.Context
	headerSent bool
	// failed is true once a write to the caller has failed. Further events are
	// discarded.
	failed bool
}

// send writes one event with body as its JSON data. It uses status if the event is
// the first one.
func (w *eventWriter) send(status int, event string, body any) {
	if w.failed {
		return
	}
	if !w.headerSent {
		w.headerSent = true
		w.ctx.SetHeader("Content-Type", eventStream)
		w.ctx.SetHeader("Cache-Control", "no-store")
		w.ctx.SetStatus(status)
	}
	data, err := json.Marshal(body)
	if err != nil {
		w.failed = true
		return
	}
	var frame bytes.Buffer
	frame.WriteString("event: " + event + "\ndata: ")
	frame.Write(data)
	frame.WriteString("\n\n")
	w.failed = !w.write(frame.Bytes())
}

func (w *eventWriter) write(frame []byte) bool {
	return writeWithTimeout(w.ctx, frame)
}

// writeWithTimeout writes and flushes a frame within writeTimeout. It clears the
// write deadline afterwards, because the connection serves further requests. It
// returns false if the write failed.
func writeWithTimeout(ctx huma.Context, frame []byte) bool {
	out := ctx.BodyWriter()
	rw, ok := out.(http.ResponseWriter)
	if !ok {
		_, err := out.Write(frame)
		return err == nil
	}
	c := http.NewResponseController(rw)
	// Only the response writers of tests do not support write deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	_, err := rw.Write(frame)
	return err == nil && c.Flush() == nil
}

func writeJSON(ctx huma.Context, status int, body any) {
	ctx.SetHeader("Content-Type", "application/json")
	ctx.SetStatus(status)
	// Marshal never fails for the bodies of this package, and a failed write
	// means that the caller has disconnected.
	data, _ := json.Marshal(body)
	_ = writeWithTimeout(ctx, data)
}

func writeError(ctx huma.Context, e *APIError) {
	setRetryAfter(ctx, e)
	writeJSON(ctx, e.Status, e)
}

func setRetryAfter(ctx huma.Context, e *APIError) {
	if e.RetryAfter > 0 {
		ctx.SetHeader("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
}
