package peer

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// serving is the side of a connection that serves calls.
type serving struct {
	server *Server
	link   *link
	host   cicadapitch.HostID
	wg     sync.WaitGroup

	mu   sync.Mutex
	runs map[uint64]*run
	// last is the highest stream seen. A request at or below it is a
	// duplicate and never starts again.
	last uint64
}

// run is one running handler.
type run struct {
	cancel context.CancelCauseFunc
	credit *credit
}

func (s *serving) accept(f frame) error {
	switch f.Kind {
	case requestFrame:
		return s.request(f)
	case cancelFrame:
		if r := s.find(f.Stream); r != nil {
			r.cancel(ErrCancelled)
		}
		return nil
	case creditFrame:
		if r := s.find(f.Stream); r != nil {
			r.credit.grant(f.Credit)
		}
		return nil
	default:
		return malformed(fmt.Sprintf("a server takes no frame of kind %s", f.Kind))
	}
}

func (s *serving) find(stream uint64) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[stream]
}

func (s *serving) request(f frame) error {
	if !s.isNew(f.Stream) {
		return nil
	}
	h, err := s.server.lookup(f.Name)
	if err != nil {
		return s.refuse(f.Stream, err)
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(s.link.ctx))
	r := &run{cancel: cancel, credit: newCredit(f.Credit)}
	if !s.add(f.Stream, r) {
		cancel(nil)
		s.server.calls.Done()
		return s.refuse(f.Stream, cicadapitch.NewNotRun("too many calls on this connection", fullRetry))
	}
	s.link.begin()
	s.wg.Go(func() {
		defer s.server.calls.Done()
		defer s.link.end()
		defer cancel(nil)
		s.serve(ctx, r, h, f)
	})
	return nil
}

func (s *serving) isNew(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream <= s.last {
		return false
	}
	s.last = stream
	return true
}

func (s *serving) add(stream uint64, r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= s.server.opts.maxCalls {
		return false
	}
	s.runs[stream] = r
	return true
}

func (s *serving) remove(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, stream)
}

func (s *serving) refuse(stream uint64, err error) error {
	return s.link.sendControl(frame{Kind: failureFrame, Stream: stream, Error: wireError(err)})
}

func (s *serving) serve(ctx context.Context, r *run, h handler, f frame) {
	if f.Number > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, cicadapitch.Millis(min(f.Number, maxTimeout)).Duration())
		defer stop()
	}
	body, err := s.call(ctx, r, h, f)
	s.remove(f.Stream)
	s.answer(f.Stream, body, err)
}

// maxTimeout keeps a peer's timeout within what the clock can count, in
// milliseconds.
const maxTimeout = 24 * 60 * 60 * 1000

// call runs the handler. A panic is the fault of this one call.
func (s *serving) call(ctx context.Context, r *run, h handler, f frame) (body cbor.RawMessage, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.server.opts.log.Error().Str("Name", f.Name).Interface("Panic", p).Bytes("Stack", debug.Stack()).Msg("handler panicked")
			err = cicadapitch.NewOutcomeUnknown(fmt.Sprintf("the handler of %s panicked", f.Name))
		}
	}()
	index := uint64(0)
	return h(ctx, f.Body, func(item cbor.RawMessage) error {
		if err := r.credit.spend(ctx, len(item)); err != nil {
			return cicadapitch.Wrap(err)
		}
		err := s.put(ctx, frame{Kind: itemFrame, Stream: f.Stream, Number: index, Body: item})
		index++
		return err
	})
}

func (s *serving) answer(stream uint64, body cbor.RawMessage, err error) {
	answer := frame{Kind: responseFrame, Stream: stream, Body: body}
	if err != nil {
		answer = frame{Kind: failureFrame, Stream: stream, Error: wireError(err)}
	}
	err = s.put(s.link.ctx, answer)
	if err != nil && s.link.ctx.Err() == nil {
		_ = s.refuse(stream, cicadapitch.NewOutcomeUnknown("the response was not sent: "+err.Error()))
	}
}

// put queues a frame of a handler and waits for space.
func (s *serving) put(ctx context.Context, f frame) error {
	if err := checkSize(f.Name, f.Body, s.server.opts.maxMessage); err != nil {
		return err
	}
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if s.link.out.put(ctx, s.link.ctx.Done(), data) == nil {
		return cicadapitch.Wrap(context.Cause(ctx))
	}
	return nil
}

// lost ends the handlers' contexts and waits for the handlers.
func (s *serving) lost(error) {
	s.mu.Lock()
	for _, r := range s.runs {
		r.cancel(ErrConnectionLost)
	}
	s.mu.Unlock()
	s.wg.Wait()
}
