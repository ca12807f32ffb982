package daemon

import (
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes each event of the given level or above to
// w as one line of key=value pairs. It sets zerolog.TimeFieldFormat, which is
// global to the process.
func NewLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	// ConsoleWriter parses the timestamp that the logger has written, so both
	// need the same format to keep the milliseconds.
	zerolog.TimeFieldFormat = logTimeFormat
	out := zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: logTimeFormat,
		FormatLevel: func(v any) string {
			return fmt.Sprintf("Level=%v", v)
		},
		FormatMessage: func(v any) string {
			return "Event=" + eventName(v)
		},
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("Time=%v", v)
		},
		FormatErrFieldName: func(any) string { return "Error=" },
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// eventName joins the words of a log message with underscores, so that the value
// needs no quotes.
func eventName(v any) string {
	return strings.ReplaceAll(fmt.Sprint(v), " ", "_")
}
