package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 5 * time.Second

// eventWriter writes server-sent events. The status is that of the first event.
type eventWriter struct {
	ctx   huma.Context
	begun bool
	// failed is true once the caller could not be written to.
	failed bool
}

func (w *eventWriter) send(status int, event string, body any) {
	if w.failed {
		return
	}
	if !w.begun {
		w.begun = true
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
	return writeInTime(w.ctx, frame)
}

// writeInTime writes and flushes a frame. The deadline is taken back
// afterwards, because the connection serves further requests.
func writeInTime(ctx huma.Context, frame []byte) bool {
	out := ctx.BodyWriter()
	rw, ok := out.(http.ResponseWriter)
	if !ok {
		_, err := out.Write(frame)
		return err == nil
	}
	c := http.NewResponseController(rw)
	// Writers without deadlines are those of tests.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	_, err := rw.Write(frame)
	return err == nil && c.Flush() == nil
}

func writeJSON(ctx huma.Context, status int, body any) {
	ctx.SetHeader("Content-Type", "application/json")
	ctx.SetStatus(status)
	// Marshal never fails for the bodies of this package, and a failed write
	// means that the caller has gone.
	data, _ := json.Marshal(body)
	_ = writeInTime(ctx, data)
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
