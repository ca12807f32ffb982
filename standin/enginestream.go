package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

type completionRequest struct {
	Model     string             `json:"model"`
	Prompt    string             `json:"prompt"`
	MaxTokens cicadapitch.Tokens `json:"max_tokens"`
	Stream    bool               `json:"stream"`
	Priority  int                `json:"priority"`
	// CacheKey identifies the prefix of the prompt; it is empty if there is
	// none.
	CacheKey string `json:"prompt_cache_key"`
	// Resume is the part of the completion that the caller already has.
	Resume string `json:"resume"`
}

type completionChunk struct {
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// handleCompletion serves POST /v1/completions.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q)
	if err != nil || !q.Stream {
		http.Error(w, "a JSON body with stream true is needed", http.StatusBadRequest)
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = DefaultTokens
	}
	if e.refuseWhileLoading(w) {
		return
	}
	cold, ok := e.acquire(r.Context(), q.Priority)
	if !ok {
		http.Error(w, "the engine is cold and bears no more", http.StatusInternalServerError)
		return
	}
	run := e.recorder.start(r.Header.Get(driver.HeaderAttempt), cicadapitch.CustomerID(r.Header.Get(driver.HeaderCustomer)), cold)
	completed := false
	defer func() {
		e.recorder.end(run, completed)
		e.release(completed)
	}()
	completed = e.stream(w, r, q)
}

// stream writes the tokens that the caller does not have yet, and returns
// whether the whole completion was written.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q completionRequest) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	skip := len(q.Resume)
	if !strings.HasPrefix(Completion(q.Prompt, q.MaxTokens), q.Resume) {
		skip = 0
	}
	abortAfter := e.takeAbortAfter()
	if err := e.clock.Sleep(r.Context(), e.startPrefill(q.CacheKey)); err != nil {
		return false
	}
	for i := range int(q.MaxTokens) {
		text := Token(q.Prompt, i)
		if skip >= len(text) {
			skip -= len(text)
			continue
		}
		if abortAfter == 0 {
			panic(http.ErrAbortHandler)
		}
		abortAfter--
		if err := e.clock.Sleep(r.Context(), e.timePerToken()); err != nil {
			return false
		}
		c := completionChunk{Object: "text_completion", Model: q.Model, Choices: []completionChoice{{Text: text[skip:]}}}
		if err := e.writeEvent(w, r, c); err != nil {
			return false
		}
		skip = 0
	}
	finishReason := "length"
	last := completionChunk{Object: "text_completion", Model: q.Model, Choices: []completionChoice{{FinishReason: &finishReason}}}
	if err := e.writeEvent(w, r, last); err != nil {
		return false
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	_ = http.NewResponseController(w).Flush()
	return err == nil
}

// writeEvent writes a chunk as a server-sent event and flushes it. A silent engine writes the
// first half before its silence.
func (e *Engine) writeEvent(w http.ResponseWriter, r *http.Request, c completionChunk) error {
	b, _ := json.Marshal(c)
	event := fmt.Appendf(nil, "data: %s\n\n", b)
	if e.silence.left(e.clock) > 0 {
		_, _ = w.Write(event[:len(event)/2])
		event = event[len(event)/2:]
		_ = http.NewResponseController(w).Flush()
		if err := e.silence.wait(r.Context(), e.clock); err != nil {
			return err
		}
	}
	_, _ = w.Write(event)
	_ = http.NewResponseController(w).Flush()
	return nil
}

// takeAbortAfter returns the number of tokens after which to abort this stream,
// -1 for none, and resets the fault.
func (e *Engine) takeAbortAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.abortAfter
	e.abortAfter = -1
	return n
}

// timePerToken returns the service time of a token under the current number of
// running requests.
func (e *Engine) timePerToken() cicadapitch.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := max(0, float64(e.running-1))
	return cicadapitch.Millis(float64(e.tokenTime) * (1 + e.growth*others))
}

// handleOrder serves POST /orders: an order to load or unload a model, or to
// change the role.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o cicadapitch.EndpointOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && o.Fencing < e.fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.startWeightLoad(o)
	e.orders = append(e.orders, o)
	writeJSON(w, o)
}
