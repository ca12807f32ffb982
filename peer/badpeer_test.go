package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
)

func TestWrongKeyIsRefusedByTheServer(t *testing.T) {
	address := serve(t, echoServer())
	wrong := peer.NewDialer("intruder", []byte("another key"))
	defer func() { _ = wrong.Close(context.Background()) }()
	_, err := peer.Call[question, reply](t.Context(), wrong, address, "echo", question{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.ErrorContains(t, err, "the peer does not prove the deployment key")
	echo(t, dialer(t), address, "the others are not affected")
}

func TestFalseServerGetsNoRequest(t *testing.T) {
	read := make(chan int, 1)
	mux := http.NewServeMux()
	mux.HandleFunc(peer.Path, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = ws.CloseNow() }()
		_ = ws.Write(r.Context(), websocket.MessageBinary, peer.Challenge())
		_, _, _ = ws.Read(r.Context())
		_ = ws.Write(r.Context(), websocket.MessageBinary, peer.FalseWelcome())
		_, message, _ := ws.Read(r.Context())
		read <- len(message)
	})
	h := httptest.NewServer(mux)
	defer h.Close()
	_, err := peer.Call[question, reply](t.Context(), dialer(t), strings.TrimPrefix(h.URL, "http://"), "echo", question{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Zero(t, <-read)
}

// rawConn opens a WebSocket without the handshake.
func rawConn(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	ws, resp, err := websocket.Dial(t.Context(), "ws://"+address+peer.Path, nil)
	require.NoError(t, err)
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	return ws
}

// closed waits for the server to close the connection.
func closed(t *testing.T, ws *websocket.Conn) {
	t.Helper()
	for {
		if _, _, err := ws.Read(t.Context()); err != nil {
			return
		}
	}
}

func TestBadPeerIsCutOffAlone(t *testing.T) {
	bad := map[string]func(t *testing.T, ws *websocket.Conn){
		"request before the proof": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, peer.RequestFrame(1, "block", 1)))
		},
		"says nothing": func(*testing.T, *websocket.Conn) {},
		"malformed frame": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, peer.Prove(t.Context(), ws, key))
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, []byte{0xff, 0x00}))
		},
		"message too large": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, peer.Prove(t.Context(), ws, key))
			_ = ws.Write(t.Context(), websocket.MessageBinary, make([]byte, 1<<20))
		},
		"handshake too large": func(t *testing.T, ws *websocket.Conn) {
			_ = ws.Write(t.Context(), websocket.MessageBinary, make([]byte, 1<<16))
		},
	}
	s, begun, _ := blockServer(peer.WithMaxMessage(64<<10), peer.WithHandshakeTimeout(200))
	address := serve(t, s)
	d := dialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[question, reply](ctx, d, address, "block", question{})
		failed <- err
	}()
	<-begun
	for name, act := range bad {
		t.Run(name, func(t *testing.T) {
			ws := rawConn(t, address)
			act(t, ws)
			closed(t, ws)
			require.Empty(t, begun, "a handler ran for the bad peer")
			echo(t, d, address, "others")
		})
	}
	require.Empty(t, failed, "another peer's pending call ended")
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
}

func TestUnknownVersionIsRefusedWithAReason(t *testing.T) {
	ws := rawConn(t, serve(t, echoServer()))
	_, _, err := ws.Read(t.Context())
	require.NoError(t, err)
	require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, peer.UnknownVersionProof()))
	_, message, err := ws.Read(t.Context())
	require.NoError(t, err)
	require.ErrorContains(t, peer.RefusalIn(message), "unknown protocol version 99")
	closed(t, ws)
}

func TestUnknownNameIsRefusedWithAReason(t *testing.T) {
	address, d := serve(t, echoServer()), dialer(t)
	_, err := peer.Call[question, reply](t.Context(), d, address, "nothing", question{})
	require.Equal(t, cicadapitch.NotFound, cicadapitch.KindOf(err))
	echo(t, d, address, "the connection goes on")
}

func TestWrongTypeIsRefusedWithoutRunning(t *testing.T) {
	address, d := serve(t, echoServer()), dialer(t)
	_, err := peer.Call[int, reply](t.Context(), d, address, "echo", 7)
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
	echo(t, d, address, "the connection goes on")
}

func TestDuplicatedRequestRunsOnce(t *testing.T) {
	s := peer.NewServer(key)
	var runs atomic.Int64
	peer.Handle(s, "run", func(_ context.Context, n int) (int, error) {
		runs.Add(1)
		return n, nil
	})
	ws := rawConn(t, serve(t, s))
	require.NoError(t, peer.Prove(t.Context(), ws, key))
	first, second, last := peer.RequestFrame(1, "run", 1), peer.RequestFrame(2, "run", 2), peer.RequestFrame(3, "run", 3)
	for _, frames := range [][][]byte{{first, second, first}, {first}, {second, last}} {
		require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, slices.Concat(frames...)))
	}
	// Requests begin in order, so the last answer follows every beginning.
	for answered := 0; answered < 3; {
		_, message, err := ws.Read(t.Context())
		require.NoError(t, err)
		n, err := peer.DecodeFrames(message)
		require.NoError(t, err)
		answered += n
	}
	require.NoError(t, s.Close(t.Context()))
	require.Equal(t, int64(3), runs.Load())
}

func FuzzDecodeFrames(f *testing.F) {
	request := peer.RequestFrame(1, "run", 1)
	f.Add(request)
	f.Add(append(append([]byte{}, request...), request...))
	f.Add(request[:len(request)-1])
	f.Add([]byte{})
	f.Add([]byte{0x87, 0x63, 0, 0, 0, 0x60, 0xf6, 0xf6})
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte(strings.Repeat("\x81", 1000)))
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		n, err := peer.DecodeFrames(message)
		if err != nil && cicadapitch.KindOf(err) != cicadapitch.Invalid {
			t.Fatalf("%d frames, untyped error %v", n, err)
		}
	})
}
