package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/stretchr/testify/require"
)

func newHandler(s *entry.Server) http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("test", "1"))
	entry.Register(api, s, func(zone cicadapitch.ZoneID, _ string) entry.DirectoryAnswer {
		return entry.DirectoryAnswer{Hosts: []entry.DirectoryHost{{Host: "h1", Zone: zone, URL: "http://h1"}}, TTL: 1000}
	})
	return mux
}

// postRequest posts a request body with a customer's key. It returns the status, the
// header and the body of the response.
func postRequest(h http.Handler, key, accept, body string) (int, http.Header, string) {
	r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", accept)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Header(), w.Body.String()
}

// get sends a GET request, decodes the JSON response into body and returns the status.
func get(h http.Handler, key, path string, body any) int {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	_ = json.Unmarshal(w.Body.Bytes(), body)
	return w.Code
}

func TestRequestsAnswerWithJSONOrEvents(t *testing.T) {
	f := newFixture()
	h := newHandler(f.newServer())
	const body = `{"Pipeline":"draft","Input":"x"}`
	status, _, text := postRequest(h, customerKey, "application/json", body)
	require.Equal(t, http.StatusOK, status)
	var a entry.AnswerBody
	require.NoError(t, json.Unmarshal([]byte(text), &a))
	require.Equal(t, "generate(encode(x))", a.Output)
	status, header, text := postRequest(h, customerKey, "text/event-stream", body)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "text/event-stream", header.Get("Content-Type"))
	events := strings.Split(strings.TrimSpace(text), "\n\n")
	require.Len(t, events, 2)
	require.True(t, strings.HasPrefix(events[0], "event: Chunk\ndata: {"))
	require.True(t, strings.HasPrefix(events[1], "event: Answer\ndata: {"))
}

func TestDirectoryMintsTokensForCustomersOnly(t *testing.T) {
	f := newFixture()
	h := newHandler(f.newServer())
	var a entry.DirectoryAnswer
	require.Equal(t, http.StatusOK, get(h, "", "/v1/directory?Zone=z1", &a))
	require.Equal(t, cicadapitch.ZoneID("z1"), a.Hosts[0].Zone)
	require.Empty(t, a.Tokens)
	require.Equal(t, http.StatusUnauthorized, get(h, "wrong", "/v1/directory", &a))
	require.Equal(t, http.StatusOK, get(h, customerKey, "/v1/directory?Tokens=3", &a))
	require.Len(t, a.Tokens, 3)
	require.Equal(t, []cicadapitch.PipelineID{"reserve"}, a.Once)
	_, err := f.minter.Verify("club", a.Tokens[0])
	require.NoError(t, err)
}

func TestCustomerGetsItsOwnAnswersOnly(t *testing.T) {
	f := newFixture()
	h := newHandler(f.newServer())
	token := string(f.minter.Mint("club"))
	body := `{"Pipeline":"reserve","Input":"x","Token":"` + token + `"}`
	status, _, text := postRequest(h, otherKey, "application/json", body)
	require.Equal(t, http.StatusUnauthorized, status, text)
	status, _, text = postRequest(h, customerKey, "application/json", body)
	require.Equal(t, http.StatusOK, status, text)
	var o entry.OutcomeBody
	require.Equal(t, http.StatusUnauthorized, get(h, otherKey, "/v1/requests/"+token+"/outcome", &o))
	require.Nil(t, o.Answer)
	require.Equal(t, http.StatusOK, get(h, customerKey, "/v1/requests/"+token+"/outcome", &o))
	require.Equal(t, "book(encode(x))", o.Answer.Output)
	require.Equal(t, 1, f.runner.(*fakeRunner).starts("book"))
}

func TestRefusalsSetRetryAfter(t *testing.T) {
	f := newFixture()
	s := f.newServer()
	require.NoError(t, s.Drain(context.Background()))
	h := newHandler(s)
	for _, accept := range []string{"application/json", "text/event-stream"} {
		status, header, text := postRequest(h, customerKey, accept, `{"Pipeline":"draft","Input":"x"}`)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "1", header.Get("Retry-After"))
		require.Contains(t, text, `"Kind":"NotRun"`)
		require.Contains(t, text, `"RetryAfter":50`)
	}
}

func TestHostWithoutConfigurationIsUnavailable(t *testing.T) {
	f := newFixture()
	s := f.newServer()
	f.cfg = nil
	status, header, text := postRequest(newHandler(s), customerKey, "application/json", `{"Pipeline":"draft","Input":"x"}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("Retry-After"))
	require.Contains(t, text, `"Kind":"Unavailable"`)
}

func TestInvalidInputReturnsAPIError(t *testing.T) {
	f := newFixture()
	h := newHandler(f.newServer(entry.WithMaxInput(1000)))
	cases := map[string]struct {
		key, body string
		status    int
		kind      string
	}{
		"no key":             {"", `{"Pipeline":"draft","Input":"x"}`, 401, "Denied"},
		"wrong key":          {"wrong", `{"Pipeline":"draft","Input":"x"}`, 401, "Denied"},
		"broken JSON":        {customerKey, `{"Pipeline":`, 400, "Invalid"},
		"empty":              {customerKey, ``, 400, "Invalid"},
		"no pipeline":        {customerKey, `{"Input":"x"}`, 422, "Invalid"},
		"unknown field":      {customerKey, `{"Pipeline":"draft","Input":"x","Customer":"other"}`, 422, "Invalid"},
		"wrong type":         {customerKey, `{"Pipeline":7,"Input":"x"}`, 422, "Invalid"},
		"unknown pipeline":   {customerKey, `{"Pipeline":"none","Input":"x"}`, 404, "NotFound"},
		"past deadline":      {customerKey, `{"Pipeline":"draft","Input":"x","Deadline":-1}`, 400, "Invalid"},
		"too long input":     {customerKey, `{"Pipeline":"draft","Input":"` + strings.Repeat("x", 1001) + `"}`, 400, "Invalid"},
		"oversized body":     {customerKey, `{"Pipeline":"draft","Input":"` + strings.Repeat("x", 1<<20) + `"}`, 413, "Invalid"},
		"no token":           {customerKey, `{"Pipeline":"reserve","Input":"x"}`, 400, "Invalid"},
		"broken token":       {customerKey, `{"Pipeline":"reserve","Input":"x","Token":"!"}`, 400, "Invalid"},
		"key without claims": {customerKey, `{"Pipeline":"reserve","Input":"x","IdempotencyKey":"k"}`, 400, "Invalid"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, header, text := postRequest(h, c.key, "application/json", c.body)
			require.Equal(t, c.status, status, text)
			require.Contains(t, header.Get("Content-Type"), "json")
			var e entry.APIError
			require.NoError(t, json.Unmarshal([]byte(text), &e))
			require.Equal(t, c.kind, e.Kind, text)
			require.NotEmpty(t, e.Reason)
			require.NotEmpty(t, e.Remedy)
		})
	}
	require.Zero(t, f.runner.(*fakeRunner).starts("encode"))
}

func FuzzRequestBody(f *testing.F) {
	h := newHandler(newFixture().newServer(entry.WithMaxInput(1000)))
	for _, seed := range []string{
		``, `{}`, `[]`, `null`, `{"Pipeline":"draft","Input":"x"}`, `{"Pipeline":"reserve","Token":"AAAA"}`,
		`{"Pipeline":"draft","Input":"\ud800","Deadline":9223372036854775807}`, "\x00\xff", `{"Pipeline":"draft","Deadline":1e400}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Authorization", "Bearer "+customerKey)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		text, _ := io.ReadAll(w.Body)
		if w.Code == http.StatusInternalServerError || !json.Valid(text) {
			t.Fatalf("status %d, body %q", w.Code, text)
		}
	})
}
