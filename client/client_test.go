package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/stretchr/testify/require"
)

// handlerStep handles one send of a request.
type handlerStep func(w http.ResponseWriter, r *http.Request, b entry.RequestBody)

// host is an entry host that handles each send with the next step of a script.
// After the last step, it answers every request.
type host struct {
	*httptest.Server
	fleet *fleet
	id    cicadapitch.HostID

	mu                sync.Mutex
	script            []handlerStep
	requests          []entry.RequestBody
	directoryRequests int
	outcomeRequests   int
	outcome           entry.OutcomeBody
}

// fleet holds the hosts that each directory lists.
type fleet struct{ hosts []*host }

func newFleet(t *testing.T, scripts ...[]handlerStep) *fleet {
	f := &fleet{}
	for i, script := range scripts {
		h := &host{fleet: f, id: cicadapitch.HostID(fmt.Sprint("h", i)), script: script}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/directory", h.directory)
		mux.HandleFunc("POST /v1/requests", h.request)
		mux.HandleFunc("GET /v1/requests/{Token}/outcome", h.getOutcome)
		h.Server = httptest.NewServer(mux)
		t.Cleanup(h.Close)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *fleet) client(opts ...client.Option) *client.Client {
	var seeds []string
	for _, h := range f.hosts {
		seeds = append(seeds, h.URL)
	}
	return client.New(seeds, "key", opts...)
}

func (h *host) directory(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	h.directoryRequests++
	h.mu.Unlock()
	a := entry.DirectoryAnswer{TTL: 60_000, Once: []cicadapitch.PipelineID{"reserve"}}
	for _, o := range h.fleet.hosts {
		a.Hosts = append(a.Hosts, entry.DirectoryHost{Host: o.id, URL: o.URL})
	}
	a.Tokens = idempotency.NewMinter(h.id, 1, h.URL, []byte("k")).MintN("club", 4)
	_ = json.NewEncoder(w).Encode(a)
}

func (h *host) request(w http.ResponseWriter, r *http.Request) {
	var b entry.RequestBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	h.mu.Lock()
	h.requests = append(h.requests, b)
	next := answerRequest
	if len(h.script) > 0 {
		next, h.script = h.script[0], h.script[1:]
	}
	h.mu.Unlock()
	next(w, r, b)
}

func (h *host) getOutcome(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomeRequests++
	_ = json.NewEncoder(w).Encode(h.outcome)
}

func (h *host) received() []entry.RequestBody {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests
}

func writeEvent(w http.ResponseWriter, name string, body any) {
	w.Header().Set("Content-Type", "text/event-stream")
	data, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
	_ = http.NewResponseController(w).Flush()
}

func writeChunks(w http.ResponseWriter, texts ...string) {
	for i, text := range texts {
		writeEvent(w, "Chunk", entry.ChunkBody{Stage: "generate", Attempt: 1, Index: i, Text: text})
	}
}

func answerRequest(w http.ResponseWriter, _ *http.Request, b entry.RequestBody) {
	writeChunks(w, "a", "b", "c")
	writeEvent(w, "Answer", entry.AnswerBody{Output: "abc", Request: b.Input})
}

// abortAfter sends chunks and then closes the connection.
func abortAfter(texts ...string) handlerStep {
	return func(w http.ResponseWriter, _ *http.Request, _ entry.RequestBody) {
		writeChunks(w, texts...)
		panic(http.ErrAbortHandler)
	}
}

// neverAnswer keeps the connection open until the client closes it.
func neverAnswer(_ http.ResponseWriter, r *http.Request, _ entry.RequestBody) { <-r.Context().Done() }

func returnError(kind cicadapitch.Kind) handlerStep {
	return func(w http.ResponseWriter, _ *http.Request, _ entry.RequestBody) {
		e := entry.NewAPIError(&cicadapitch.Error{Kind: kind, Reason: "scripted", RetryAfter: 1})
		w.WriteHeader(e.Status)
		_ = json.NewEncoder(w).Encode(e)
	}
}

// sendRequest sends a request and returns, in this order, the output of its answer,
// the text of all its chunks, and its error.
func sendRequest(c *client.Client, p cicadapitch.PipelineID) (string, string, error) {
	return sendRequestWithContext(context.Background(), c, p)
}

func sendRequestWithContext(ctx context.Context, c *client.Client, p cicadapitch.PipelineID) (string, string, error) {
	var text strings.Builder
	a, err := c.Do(ctx, cicadapitch.Request{Pipeline: p, Input: "x"},
		func(ch cicadapitch.Chunk) { text.WriteString(ch.Text) })
	return a.Output, text.String(), err
}

func TestDirectoryIsCachedForItsTTL(t *testing.T) {
	f := newFleet(t, nil, nil)
	c := f.client()
	for range 10 {
		out, text, err := sendRequest(c, "draft")
		require.NoError(t, err)
		require.Equal(t, "abc", out)
		require.Equal(t, "abc", text)
	}
	require.Equal(t, 1, f.hosts[0].directoryRequests)
	require.Len(t, f.hosts[0].received(), 10)
	require.Empty(t, f.hosts[0].received()[0].Token)
}

func TestRefusedRequestIsRetriedAtAnotherHost(t *testing.T) {
	f := newFleet(t, []handlerStep{returnError(cicadapitch.NotRun)}, nil)
	out, _, err := sendRequest(f.client(), "draft")
	require.NoError(t, err)
	require.Equal(t, "abc", out)
	require.Len(t, f.hosts[0].received(), 1)
	require.Len(t, f.hosts[1].received(), 1)
}

func TestUnreachableHostIsSkipped(t *testing.T) {
	for _, p := range []cicadapitch.PipelineID{"draft", "reserve"} {
		f := newFleet(t, nil, nil)
		// Without keep-alive, the next send has to dial the closed host.
		c := f.client(client.WithHTTPClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}))
		_, _, err := sendRequest(c, p)
		require.NoError(t, err)
		f.hosts[0].Close()
		out, _, err := sendRequest(c, p)
		require.NoError(t, err)
		require.Equal(t, "abc", out)
		sent := f.hosts[1].received()
		require.Len(t, sent, 1)
		require.False(t, sent[0].Repeated)
	}
}

func TestRetryAfterBrokenConnectionKeepsToken(t *testing.T) {
	f := newFleet(t, []handlerStep{abortAfter()}, []handlerStep{returnError(cicadapitch.OutcomeUnknown)})
	_, _, err := sendRequest(f.client(), "reserve")
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	first, second := f.hosts[0].received(), f.hosts[1].received()
	require.Len(t, first, 1)
	require.Len(t, second, 1)
	require.NotEmpty(t, first[0].Token)
	require.Equal(t, first[0].Token, second[0].Token)
	require.True(t, second[0].Repeated)
}

func TestTokenIsReplacedAfterNotRun(t *testing.T) {
	f := newFleet(t, []handlerStep{abortAfter()}, []handlerStep{returnError(cicadapitch.NotRun)})
	out, _, err := sendRequest(f.client(), "reserve")
	require.NoError(t, err)
	require.Equal(t, "abc", out)
	sent := append(f.hosts[0].received(), f.hosts[1].received()...)
	tokens := make(map[string]int)
	for _, b := range sent {
		tokens[b.Token]++
	}
	require.Len(t, tokens, 2)
}

func TestUnavailableKeepsToken(t *testing.T) {
	f := newFleet(t, []handlerStep{abortAfter()}, []handlerStep{returnError(cicadapitch.Unavailable)})
	out, _, err := sendRequest(f.client(), "reserve")
	require.NoError(t, err)
	require.Equal(t, "abc", out)
	first, second := f.hosts[0].received(), f.hosts[1].received()
	for _, b := range append(first, second...) {
		require.Equal(t, first[0].Token, b.Token)
	}
}

func TestRetriedStreamHasNoGapsOrDuplicates(t *testing.T) {
	f := newFleet(t, []handlerStep{abortAfter("a", "b")}, nil)
	out, text, err := sendRequest(f.client(), "draft")
	require.NoError(t, err)
	require.Equal(t, "abc", out)
	require.Equal(t, "abc", text)
}

func TestCancelEndsSendToUnresponsiveHost(t *testing.T) {
	for p, kind := range map[cicadapitch.PipelineID]cicadapitch.Kind{
		"draft":   cicadapitch.DeadlineExceeded,
		"reserve": cicadapitch.OutcomeUnknown,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, []handlerStep{func(w http.ResponseWriter, r *http.Request, b entry.RequestBody) {
			cancel()
			neverAnswer(w, r, b)
		}})
		_, _, err := sendRequestWithContext(ctx, f.client(), p)
		require.Equal(t, kind, cicadapitch.KindOf(err))
		require.Len(t, f.hosts[0].received(), 1)
	}
}

func TestOutcomeOfLostRequestIsQueriedByToken(t *testing.T) {
	for phase, kind := range map[string]cicadapitch.Kind{"Refused": cicadapitch.NotRun, "Failed": cicadapitch.Conflict} {
		f := newFleet(t, []handlerStep{abortAfter()})
		f.hosts[0].outcome = entry.OutcomeBody{Phase: phase, Error: entry.NewAPIError(cicadapitch.NewError(kind, "scripted", ""))}
		_, _, err := sendRequest(f.client(client.WithMaxSends(1)), "reserve")
		require.Equal(t, kind, cicadapitch.KindOf(err))
		require.Equal(t, 1, f.hosts[0].outcomeRequests)
	}
	f := newFleet(t, []handlerStep{abortAfter()})
	f.hosts[0].outcome = entry.OutcomeBody{Phase: "Done", Answer: &entry.AnswerBody{Output: "abc"}}
	out, _, err := sendRequest(f.client(client.WithMaxSends(1)), "reserve")
	require.NoError(t, err)
	require.Equal(t, "abc", out)
}

func TestFinalErrorsAreNotRetried(t *testing.T) {
	for _, kind := range []cicadapitch.Kind{cicadapitch.Invalid, cicadapitch.Denied, cicadapitch.Conflict, cicadapitch.OutcomeUnknown} {
		f := newFleet(t, []handlerStep{returnError(kind)})
		_, _, err := sendRequest(f.client(), "reserve")
		require.Equal(t, kind, cicadapitch.KindOf(err))
		require.Len(t, f.hosts[0].received(), 1)
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	const requests, limit = 40, 5
	script := make([]handlerStep, 1000)
	for i := range script {
		script[i] = returnError(cicadapitch.NotRun)
	}
	f := newFleet(t, script)
	c := f.client(client.WithRetryBudget(0.1, limit))
	for range requests {
		_, _, err := sendRequest(c, "draft")
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	}
	require.LessOrEqual(t, len(f.hosts[0].received()), requests*11/10+limit)
}
