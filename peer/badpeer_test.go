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
	address := startServer(t, newEchoServer())
	wrong := peer.NewDialer("intruder", []byte("another key"))
	defer func() { _ = wrong.Close(context.Background()) }()
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), wrong, address, "echo", echoRequest{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.ErrorContains(t, err, "the peer does not prove the deployment key")
	requireEcho(t, newDialer(t), address, "from a peer with the key")
}

func TestServerWithoutKeyGetsNoRequest(t *testing.T) {
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
		_ = ws.Write(r.Context(), websocket.MessageBinary, peer.ForgedWelcome())
		_, message, _ := ws.Read(r.Context())
		read <- len(message)
	})
	h := httptest.NewServer(mux)
	defer h.Close()
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), newDialer(t), strings.TrimPrefix(h.URL, "http://"), "echo", echoRequest{})
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Zero(t, <-read)
}

// dialWithoutHandshake opens a WebSocket connection and sends nothing.
func dialWithoutHandshake(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	ws, resp, err := websocket.Dial(t.Context(), "ws://"+address+peer.Path, nil)
	require.NoError(t, err)
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	return ws
}

// waitClosed reads until the server has closed the connection.
func waitClosed(t *testing.T, ws *websocket.Conn) {
	t.Helper()
	for {
		if _, _, err := ws.Read(t.Context()); err != nil {
			return
		}
	}
}

// TestOnlyMisbehavingPeerIsDisconnected checks that the server disconnects a
// peer that violates the protocol, runs no handler for it and keeps serving
// other peers.
func TestOnlyMisbehavingPeerIsDisconnected(t *testing.T) {
	bad := map[string]func(t *testing.T, ws *websocket.Conn){
		"request before the proof": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, peer.RequestFrame(1, "block", 1)))
		},
		"sends nothing": func(*testing.T, *websocket.Conn) {},
		"malformed frame": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, peer.ClientHandshake(t.Context(), ws, key))
			require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, []byte{0xff, 0x00}))
		},
		"message too large": func(t *testing.T, ws *websocket.Conn) {
			require.NoError(t, peer.ClientHandshake(t.Context(), ws, key))
			_ = ws.Write(t.Context(), websocket.MessageBinary, make([]byte, 1<<20))
		},
		"handshake too large": func(t *testing.T, ws *websocket.Conn) {
			_ = ws.Write(t.Context(), websocket.MessageBinary, make([]byte, 1<<16))
		},
	}
	s, started, _ := newBlockServer(peer.WithMaxMessage(64<<10), peer.WithHandshakeTimeout(200))
	address := startServer(t, s)
	d := newDialer(t)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := peer.Call[echoRequest, echoResponse](ctx, d, address, "block", echoRequest{})
		failed <- err
	}()
	<-started
	for name, act := range bad {
		t.Run(name, func(t *testing.T) {
			ws := dialWithoutHandshake(t, address)
			act(t, ws)
			waitClosed(t, ws)
			require.Empty(t, started, "a handler ran for the misbehaving peer")
			requireEcho(t, d, address, "from another peer")
		})
	}
	require.Empty(t, failed, "another peer's pending call ended")
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
}

func TestUnknownVersionIsRefusedWithAReason(t *testing.T) {
	ws := dialWithoutHandshake(t, startServer(t, newEchoServer()))
	_, _, err := ws.Read(t.Context())
	require.NoError(t, err)
	require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, peer.UnknownVersionProof()))
	_, message, err := ws.Read(t.Context())
	require.NoError(t, err)
	require.ErrorContains(t, peer.DecodeWelcomeError(message), "unknown protocol version 99")
	waitClosed(t, ws)
}

func TestUnknownCallNameIsNotFound(t *testing.T) {
	address, d := startServer(t, newEchoServer()), newDialer(t)
	_, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "nothing", echoRequest{})
	require.Equal(t, cicadapitch.NotFound, cicadapitch.KindOf(err))
	requireEcho(t, d, address, "on the same connection")
}

func TestWrongTypeIsRefusedWithoutRunning(t *testing.T) {
	address, d := startServer(t, newEchoServer()), newDialer(t)
	_, err := peer.Call[int, echoResponse](t.Context(), d, address, "echo", 7)
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
	requireEcho(t, d, address, "on the same connection")
}

func TestDuplicatedRequestRunsOnce(t *testing.T) {
	s := peer.NewServer(key)
	var runs atomic.Int64
	peer.Handle(s, "run", func(_ context.Context, n int) (int, error) {
		runs.Add(1)
		return n, nil
	})
	ws := dialWithoutHandshake(t, startServer(t, s))
	require.NoError(t, peer.ClientHandshake(t.Context(), ws, key))
	first, second, last := peer.RequestFrame(1, "run", 1), peer.RequestFrame(2, "run", 2), peer.RequestFrame(3, "run", 3)
	for _, frames := range [][][]byte{{first, second, first}, {first}, {second, last}} {
		require.NoError(t, ws.Write(t.Context(), websocket.MessageBinary, slices.Concat(frames...)))
	}
	// The server starts requests in order, so all of them have started once
	// three responses have arrived.
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
