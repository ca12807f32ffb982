package fronthost

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

const (
	// logQueue bounds the lines that wait to be written.
	logQueue = 4096
	// writeSize is the size from which a write is not made larger.
	writeSize = 32 << 10
)

// LogWriter writes lines without ever blocking its callers. Lines that find the
// queue full are counted and left out.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLogWriter returns a writer to w and starts it.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logQueue), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never fails.
func (l *LogWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.writeFrom(w, line)
		case <-l.stop:
			select {
			case line := <-l.lines:
				l.writeFrom(w, line)
			default:
				return
			}
		}
	}
}

// writeFrom writes a line together with those that wait behind it.
func (l *LogWriter) writeFrom(w io.Writer, line []byte) {
	for more := true; more && len(line) < writeSize; {
		select {
		case next := <-l.lines:
			line = append(line, next...)
		default:
			more = false
		}
	}
	if n := l.dropped.Swap(0); n > 0 {
		line = append(line, `{"Level":"warn","Message":"log lines left out","Lines":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	// There is nowhere to report that the log itself cannot be written.
	_, _ = w.Write(line)
}

// Close writes what waits. Lines written after it are lost.
func (l *LogWriter) Close() {
	close(l.stop)
	<-l.done
}

// NewLogger returns a logger that stamps lines with clock.
func NewLogger(w io.Writer, clock cicadapitch.Clock) zerolog.Logger {
	zerolog.LevelFieldName, zerolog.MessageFieldName, zerolog.ErrorFieldName = "Level", "Message", "Error"
	return zerolog.New(w).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Int64("At", int64(clock.Now()))
	}))
}
