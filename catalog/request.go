package catalog

import (
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// Request is one caller's request, decoded.
type Request struct {
	ID      cicadapitch.RequestID
	Method  string
	Host    string
	Path    string
	Target  string
	Key     string
	Headers http.Header
	Body    []byte
	// Timeout is how long the caller waits, or 0.
	Timeout cicadapitch.Millis
	// Arrived is when the head of the request was read.
	Arrived cicadapitch.Instant
	// PromptTokens and OutputTokens bound the work of an engine.
	PromptTokens, OutputTokens cicadapitch.Tokens
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// Pieces counts the pieces of each stage, and PieceKey identifies their
	// input.
	Pieces   []int
	PieceKey string
	// ResumeAfter is the last event id that the caller has, or empty.
	ResumeAfter string
}

// PromptPart is a part of a prompt. Requests that share parts share their cache.
type PromptPart struct {
	ID     string
	Tokens cicadapitch.Tokens
}

// Session returns the last part that other requests share, or "".
func (r *Request) Session() string {
	if n := len(r.Prompt); n >= 2 {
		return r.Prompt[n-2].ID
	}
	return ""
}
