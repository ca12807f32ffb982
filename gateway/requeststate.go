package gateway

import "sync/atomic"

//go:generate go tool -modfile=../tools/go.mod enumer -type=requestState -trimprefix=state -output=requeststate_enumer.go

// requestState says how far a request has come.
type requestState int32

const (
	// stateWaiting means that no endpoint has the request.
	stateWaiting requestState = iota
	// stateSent means that the request was or is being sent to an endpoint.
	stateSent
	// stateAnswering means that the head of the answer was sent to the caller.
	stateAnswering
)

// runningRequests counts the requests that are being served, by state.
type runningRequests [stateAnswering + 1]atomic.Int64

// begin counts a new request.
func (r *runningRequests) begin(p *proxiedRequest) { r[p.state.Load()].Add(1) }

// end counts a request no longer.
func (r *runningRequests) end(p *proxiedRequest) { r[p.state.Load()].Add(-1) }

// setState sets how far the request has come.
func (p *proxiedRequest) setState(s requestState) {
	old := requestState(p.state.Swap(int32(s)))
	p.g.running[old].Add(-1)
	p.g.running[s].Add(1)
}

// awaitAttempt records that no endpoint has the request, which may be sent to one soon. An answer that
// has begun stays begun.
func (p *proxiedRequest) awaitAttempt() {
	if !p.answer.HeaderWritten() {
		p.setState(stateWaiting)
	}
}

// beginAnswer records that the head of an answer with a status is about to be sent to the caller.
func (p *proxiedRequest) beginAnswer(status int) {
	p.status = status
	p.setState(stateAnswering)
}
