package gateway

import "io"

// streamRead is one read of a stream. Its bytes are valid until the next one is received.
type streamRead struct {
	b   []byte
	err error
}

// streamReader reads a stream in the background.
type streamReader struct {
	results chan streamRead
	done    chan struct{}
	// ended is set by the receiver of the last result.
	ended bool
}

// startStreamReader starts to read a stream until its first error.
func startStreamReader(r io.Reader) *streamReader {
	s := &streamReader{results: make(chan streamRead), done: make(chan struct{})}
	go s.run(r)
	return s
}

func (s *streamReader) run(r io.Reader) {
	defer close(s.results)
	// One buffer is filled while the receiver uses the other.
	var buffers [2][]byte
	for i := 0; ; i = 1 - i {
		if buffers[i] == nil {
			buffers[i] = make([]byte, streamBufferBytes)
		}
		n, err := r.Read(buffers[i])
		select {
		case s.results <- streamRead{buffers[i][:n], err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// stop waits until the reader has ended. abort makes a read that is under way fail.
func (s *streamReader) stop(abort func()) {
	close(s.done)
	if !s.ended {
		abort()
	}
	for range s.results {
	}
}
