package fronthost_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fronthost"
)

func TestLogWriterDropsAndReportsLinesInsteadOfBlocking(t *testing.T) {
	r, w := io.Pipe()
	l := fronthost.NewLogWriter(w)
	start := time.Now()
	for range 20_000 {
		_, err := l.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), 5*time.Second)
	var out bytes.Buffer
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		io.Copy(&out, r)
	}()
	l.Close()
	w.Close()
	<-copied
	require.Contains(t, out.String(), "log lines dropped")
}
