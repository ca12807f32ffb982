package fronthost

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

const (
	// logQueueLines is how many lines may wait to be written.
	logQueueLines = 4096
	// maxBatchBytes is the size from which a write takes no more lines.
	maxBatchBytes = 32 << 10
)

// LogWriter is an io.Writer that queues log lines for a goroutine and so never
// blocks its callers. Lines that come while the queue is full are dropped, and
// their number is logged.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLogWriter starts a LogWriter that writes to w. The caller must call Close.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues p, which must be one whole line. It never fails.
func (l *LogWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// run writes queued lines to w until Close is called, and then the rest of the queue.
func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.writeBatch(w, line)
		case <-l.stop:
			select {
			case line := <-l.lines:
				l.writeBatch(w, line)
			default:
				return
			}
		}
	}
}

// writeBatch writes line together with queued lines in one call, and adds the number of
// dropped lines, if any.
func (l *LogWriter) writeBatch(w io.Writer, line []byte) {
	for more := true; more && len(line) < maxBatchBytes; {
		select {
		case next := <-l.lines:
			line = append(line, next...)
		default:
			more = false
		}
	}
	if n := l.dropped.Swap(0); n > 0 {
		line = append(line, `{"Level":"warn","Message":"log lines dropped","Lines":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	// An error of the log itself cannot be logged.
	_, _ = w.Write(line)
}

// Close writes the queued lines and stops the goroutine. Later lines are lost. It
// must be called once.
func (l *LogWriter) Close() {
	close(l.stop)
	<-l.done
}

// NewLogger returns a logger that adds the clock's time to each line as At, in
// milliseconds. As a side effect it sets zerolog's global field names.
func NewLogger(w io.Writer, clock cicadapitch.Clock) zerolog.Logger {
	zerolog.LevelFieldName, zerolog.MessageFieldName, zerolog.ErrorFieldName = "Level", "Message", "Error"
	return zerolog.New(w).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Int64("At", int64(clock.Now()))
	}))
}
