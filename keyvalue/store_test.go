package keyvalue_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue"
	"cicadapitch.example/cicadapitch/standin"
)

func newStore(t *testing.T, opts ...keyvalue.Option) (*keyvalue.Store, *standin.MemoryStore) {
	t.Helper()
	memory := standin.NewMemoryStore(cicadapitch.NewSystemClock())
	srv := httptest.NewServer(standin.NewStoreHandler(memory))
	t.Cleanup(srv.Close)
	return keyvalue.NewStore([]string{srv.URL}, opts...), memory
}

func put(key, value string) []cicadapitch.Put {
	return []cicadapitch.Put{{Key: key, Value: []byte(value)}}
}

func TestStoreComparesAndSwaps(t *testing.T) {
	ctx := context.Background()
	s, _ := newStore(t)
	absent := []cicadapitch.Compare{{Key: "a/1"}}
	r, err := s.Commit(ctx, absent, put("a/1", "x"))
	require.NoError(t, err)
	_, err = s.Commit(ctx, absent, put("a/1", "y"))
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	p, err := s.Get(ctx, "a/1")
	require.NoError(t, err)
	require.Equal(t, "x", string(p.Value))
	require.Equal(t, r, p.Revision)
	list, _, err := s.List(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, list, 1)
	_, err = s.Get(ctx, "b")
	require.Equal(t, cicadapitch.NotFound, cicadapitch.KindOf(err))
}

func TestStoreSaysWhatALostAnswerMeans(t *testing.T) {
	ctx := context.Background()
	s, memory := newStore(t)
	memory.LoseAnswers(1)
	_, err := s.Commit(ctx, nil, put("a", "x"))
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	_, err = s.Get(ctx, "a")
	require.NoError(t, err, "the write took effect")

	memory.SetDown(true)
	_, err = s.Commit(ctx, nil, put("a", "y"))
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
	memory.SetDown(false)

	refused := keyvalue.NewStore([]string{"http://127.0.0.1:1"})
	_, err = refused.Commit(ctx, nil, put("a", "y"))
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
}

func TestStoreTimesOutAWriteAsUnknownAndAReadAsUnavailable(t *testing.T) {
	ctx := context.Background()
	s, memory := newStore(t, keyvalue.WithTimeout(30))
	memory.SetDelay(10 * cicadapitch.Minute)
	_, err := s.Commit(ctx, nil, put("a", "y"))
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	_, err = s.Get(ctx, "a")
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
}

func TestStoreRefusesAboveItsBudget(t *testing.T) {
	s, memory := newStore(t, keyvalue.WithReadBudget(0.001, 1))
	_, _, err := s.List(context.Background(), "")
	require.NoError(t, err)
	_, _, err = s.List(context.Background(), "")
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
	require.EqualValues(t, 1, memory.Calls().List)
	require.EqualValues(t, 1, s.Calls().OverBudget)
}

func TestStoreLeaseEndsWithItsKeysAndWatchSeesIt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, memory := newStore(t)
	id, err := s.Grant(ctx, 1500)
	require.NoError(t, err)
	ttl, err := s.Renew(ctx, id)
	require.NoError(t, err)
	require.Equal(t, 2*cicadapitch.Second, ttl)
	events, err := s.Watch(ctx, "claim/", 0)
	require.NoError(t, err)
	_, err = s.Commit(ctx, nil, []cicadapitch.Put{{Key: "claim/1", Value: []byte("x"), Lease: id}})
	require.NoError(t, err)
	require.Equal(t, "claim/1", (<-events).Pair.Key)
	require.NoError(t, s.Revoke(ctx, id))
	require.True(t, (<-events).Deleted)
	_, err = s.Renew(ctx, id)
	require.Equal(t, cicadapitch.NotFound, cicadapitch.KindOf(err))
	memory.SetDown(true)
	require.Error(t, (<-events).Err)
	_, open := <-events
	require.False(t, open)
}

// relay passes bytes on until it goes silent, which ends the connections that
// are open without closing them. New ones work.
type relay struct {
	net.Listener
	to     string
	mu     sync.Mutex
	silent map[net.Conn]bool
	open   []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{Listener: l, to: to, silent: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		r.each(func(c net.Conn) { _ = c.Close() })
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open = append(r.open, in, out)
		r.mu.Unlock()
		go r.copy(in, out, in)
		go r.copy(out, in, in)
	}
}

func (r *relay) copy(from, to, key net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		silent := r.silent[key]
		r.mu.Unlock()
		if !silent {
			_, _ = to.Write(b[:n])
		}
	}
}

func (r *relay) each(do func(net.Conn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		do(c)
	}
}

func (r *relay) goSilent() { r.each(func(c net.Conn) { r.silent[c] = true }) }

func TestStoreLosesOneCallWhenAllItsConnectionsGoSilent(t *testing.T) {
	srv := httptest.NewServer(standin.NewStoreHandler(standin.NewMemoryStore(cicadapitch.NewSystemClock())))
	r := newRelay(t, srv.Listener.Addr().String())
	t.Cleanup(srv.CloseClientConnections)
	s := keyvalue.NewStore([]string{"http://" + r.Addr().String()}, keyvalue.WithTimeout(3000))
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() { _, _, _ = s.List(context.Background(), "") })
	}
	calls.Wait()
	r.goSilent()
	_, _, err := s.List(context.Background(), "")
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
	_, _, err = s.List(context.Background(), "")
	require.NoError(t, err)
}

func TestStoreMovesOnToTheNextAddress(t *testing.T) {
	_, memory := newStore(t)
	srv := httptest.NewServer(standin.NewStoreHandler(memory))
	defer srv.Close()
	s := keyvalue.NewStore([]string{"http://127.0.0.1:1", srv.URL})
	_, _, err := s.List(context.Background(), "")
	require.Error(t, err)
	_, _, err = s.List(context.Background(), "")
	require.NoError(t, err)
}

func TestHostListShowsWhatWasSet(t *testing.T) {
	list := standin.NewHostList(0)
	srv := httptest.NewServer(list)
	defer srv.Close()
	want := cicadapitch.ListedHost{Host: "h1", PeerAddress: "127.0.0.1:1", Leaving: true}
	list.Set(want)
	got, err := keyvalue.NewHostList(srv.URL).Hosts(context.Background())
	require.NoError(t, err)
	require.Equal(t, []cicadapitch.ListedHost{want}, got)
}

func FuzzDecodeWatch(f *testing.F) {
	for _, seed := range []string{
		`{"result":{"created":true}}`,
		`{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}]}}`,
		`{"result":{"events":[{"kv":{"key":"?","mod_revision":7}}]}}`,
		`{"error":{"code":14}}`, `{"result":null}`, `[`, `{"result":{"events":null,"canceled":true}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		list, err := keyvalue.DecodeWatch(line)
		require.False(t, err != nil && len(list) > 0)
	})
}
