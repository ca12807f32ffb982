package peer

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// serverConn is the server's side of a connection. It runs the handlers of
// incoming calls.
type serverConn struct {
	server *Server
	conn   *conn
	// peerHost is the host id that the client presented.
	peerHost        cicadapitch.HostID
	runningHandlers sync.WaitGroup

	mu    sync.Mutex
	calls map[uint64]*activeCall
	// lastStream is the highest stream number received. A request with this
	// number or a lower one is a duplicate and is not run again.
	lastStream uint64
}

// activeCall is a call whose handler is running.
type activeCall struct {
	cancel context.CancelCauseFunc
	credit *credit
}

// handleFrame handles a request, cancel or credit frame.
func (s *serverConn) handleFrame(f frame) error {
	switch f.Kind {
	case requestFrame:
		return s.handleRequest(f)
	case cancelFrame:
		if call := s.findCall(f.Stream); call != nil {
			call.cancel(ErrCancelled)
		}
		return nil
	case creditFrame:
		if call := s.findCall(f.Stream); call != nil {
			call.credit.grant(f.Credit)
		}
		return nil
	default:
		return malformedError(fmt.Sprintf("a server takes no frame of kind %s", f.Kind))
	}
}

// findCall returns the active call of a stream, or nil.
func (s *serverConn) findCall(stream uint64) *activeCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[stream]
}

// handleRequest starts the handler of a request in a goroutine. It ignores
// duplicates and sends a failure frame if the call cannot start.
func (s *serverConn) handleRequest(f frame) error {
	if !s.recordStream(f.Stream) {
		return nil
	}
	h, err := s.server.beginCall(f.Name)
	if err != nil {
		return s.sendFailure(f.Stream, err)
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(s.conn.ctx))
	call := &activeCall{cancel: cancel, credit: newCredit(f.Credit)}
	if !s.addCall(f.Stream, call) {
		cancel(nil)
		s.server.activeCalls.Done()
		return s.sendFailure(f.Stream, cicadapitch.NewNotRun("too many calls on this connection", tooManyCallsRetryAfter))
	}
	s.conn.beginCall()
	s.runningHandlers.Go(func() {
		defer s.server.activeCalls.Done()
		defer s.conn.endCall()
		defer cancel(nil)
		s.serveCall(ctx, call, h, f)
	})
	return nil
}

// recordStream records the number of a new stream. It returns false for a
// duplicate.
func (s *serverConn) recordStream(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream <= s.lastStream {
		return false
	}
	s.lastStream = stream
	return true
}

// addCall adds an active call. It returns false if there are too many.
func (s *serverConn) addCall(stream uint64, call *activeCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) >= s.server.opts.maxCalls {
		return false
	}
	s.calls[stream] = call
	return true
}

// removeCall removes an active call.
func (s *serverConn) removeCall(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, stream)
}

// sendFailure sends a failure frame with err.
func (s *serverConn) sendFailure(stream uint64, err error) error {
	return s.conn.sendControl(frame{Kind: failureFrame, Stream: stream, Error: wireError(err)})
}

// serveCall runs the handler within the timeout of the request and sends its
// result.
func (s *serverConn) serveCall(ctx context.Context, call *activeCall, h handler, f frame) {
	if f.Number > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, cicadapitch.Millis(min(f.Number, maxTimeoutMillis)).Duration())
		defer stop()
	}
	body, err := s.runHandler(ctx, call, h, f)
	s.removeCall(f.Stream)
	s.respond(f.Stream, body, err)
}

// maxTimeoutMillis bounds the timeout in a request, so that it does not
// overflow a time.Duration.
const maxTimeoutMillis = 24 * 60 * 60 * 1000

// runHandler runs the handler. A panic of the handler fails only this call.
func (s *serverConn) runHandler(ctx context.Context, call *activeCall, h handler, f frame) (body cbor.RawMessage, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.server.opts.log.Error().Str("Name", f.Name).Interface("Panic", p).Bytes("Stack", debug.Stack()).Msg("handler panicked")
			err = cicadapitch.NewOutcomeUnknown(fmt.Sprintf("the handler of %s panicked", f.Name))
		}
	}()
	index := uint64(0)
	return h(ctx, f.Body, func(item cbor.RawMessage) error {
		if err := call.credit.spend(ctx, len(item)); err != nil {
			return cicadapitch.Wrap(err)
		}
		err := s.send(ctx, frame{Kind: itemFrame, Stream: f.Stream, Number: index, Body: item})
		index++
		return err
	})
}

// respond sends the response or the error of a call. If the response cannot be
// sent, it sends a failure frame instead.
func (s *serverConn) respond(stream uint64, body cbor.RawMessage, err error) {
	response := frame{Kind: responseFrame, Stream: stream, Body: body}
	if err != nil {
		response = frame{Kind: failureFrame, Stream: stream, Error: wireError(err)}
	}
	err = s.send(s.conn.ctx, response)
	if err != nil && s.conn.ctx.Err() == nil {
		_ = s.sendFailure(stream, cicadapitch.NewOutcomeUnknown("the response was not sent: "+err.Error()))
	}
}

// send queues a frame and waits for space in the send queue.
func (s *serverConn) send(ctx context.Context, f frame) error {
	if err := checkSize(f.Name, f.Body, s.server.opts.maxMessage); err != nil {
		return err
	}
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if s.conn.queue.enqueue(ctx, s.conn.ctx.Done(), data) == nil {
		return cicadapitch.Wrap(context.Cause(ctx))
	}
	return nil
}

// connectionClosed cancels the handlers' contexts and waits for the handlers.
func (s *serverConn) connectionClosed(error) {
	s.mu.Lock()
	for _, call := range s.calls {
		call.cancel(ErrConnectionLost)
	}
	s.mu.Unlock()
	s.runningHandlers.Wait()
}
