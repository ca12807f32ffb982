package daemon

import (
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	// The console writer reads back what the logger wrote, so both need the
	// same format to keep the milliseconds.
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

// eventName joins the words of a message, so that the pair needs no quotes.
func eventName(v any) string {
	return strings.ReplaceAll(fmt.Sprint(v), " ", "_")
}
