package catalog

import (
	"net/http"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Request is one decoded HTTP request of a caller.
type Request struct {
	ID     cicadapitch.RequestID
	Method string
	Host   string
	Path   string
	// Target is the unmodified request target of the request line.
	Target string
	// Key is the API key of the caller, or empty.
	Key string
	// Headers are the headers that are forwarded to endpoints.
	Headers http.Header
	Body    []byte
	// Timeout is how long the caller waits for the answer, or 0 if the request
	// has no timeout.
	Timeout cicadapitch.Millis
	// Arrived is when the request header was read.
	Arrived cicadapitch.Instant
	// PromptTokens and OutputTokens are the token counts that the caller
	// states. They bound the work of an engine. They are 0 if missing or
	// malformed.
	PromptTokens, OutputTokens cicadapitch.Tokens
	// LengthHint is the number of output tokens that the caller expects, or 0 if it names none.
	LengthHint cicadapitch.Tokens
	// Prompt is the prompt as a sequence of parts.
	Prompt []PromptPart
	// Pieces holds the number of pieces of each stage, MaxPieces at most.
	Pieces []int
	// PieceKey identifies the input of the pieces of the first stages, those that
	// need no other stage.
	PieceKey string
	// ResumeAfter is the id of the last event that the caller received, or
	// empty.
	ResumeAfter string
	// Resumes is the id of the request that brought the caller the first event of the
	// stream, or empty.
	Resumes cicadapitch.RequestID
}

// MaxPieces bounds the pieces of one stage of a request. So many keep one endpoint busy for
// longer than any caller waits, so larger numbers are errors.
const MaxPieces = 4096

// PromptPart is a part of a prompt. Requests whose prompts begin with the same
// parts can share an engine's cache.
type PromptPart struct {
	ID     string
	Tokens cicadapitch.Tokens
}

// Session identifies the session of the request: all parts of the prompt except the
// last, which the requests of a session share. It returns the id of the last part
// that they share, or "" if there is none.
func (r *Request) Session() string {
	if n := len(r.Prompt); n >= 2 {
		return r.Prompt[n-2].ID
	}
	return ""
}

// SharedParts returns the ids of all parts of the prompt except the last, which belongs
// to the request alone.
func (r *Request) SharedParts() []string {
	if len(r.Prompt) < 2 {
		return nil
	}
	return lo.Map(r.Prompt[:len(r.Prompt)-1], func(part PromptPart, _ int) string { return part.ID })
}

// PromptIDs returns the ids of all parts of the prompt, each after a comma.
func (r *Request) PromptIDs() string {
	var b strings.Builder
	for _, part := range r.Prompt {
		b.WriteByte(',')
		b.WriteString(part.ID)
	}
	return b.String()
}
