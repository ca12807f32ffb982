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
	// CacheKey names the prefix of the prompt, empty for none.
	CacheKey string `json:"prompt_cache_key"`
	// Resume is the text that the caller already has.
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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequest)).Decode(&q)
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
	run := e.record.start(r.Header.Get(driver.HeaderAttempt), cicadapitch.CustomerID(r.Header.Get(driver.HeaderCustomer)), cold)
	completed := false
	defer func() {
		e.record.end(run, completed)
		e.release(completed)
	}()
	completed = e.stream(w, r, q)
}

// stream sends the tokens that the caller does not have yet.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q completionRequest) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	skip := len(q.Resume)
	if !strings.HasPrefix(Completion(q.Prompt, q.MaxTokens), q.Resume) {
		skip = 0
	}
	dieAfter := e.takeDeath()
	if err := e.clock.Sleep(r.Context(), e.prefillOf(q.CacheKey)); err != nil {
		return false
	}
	for i := range int(q.MaxTokens) {
		text := Token(q.Prompt, i)
		if skip >= len(text) {
			skip -= len(text)
			continue
		}
		if dieAfter == 0 {
			panic(http.ErrAbortHandler)
		}
		dieAfter--
		if err := e.clock.Sleep(r.Context(), e.timePerToken()); err != nil {
			return false
		}
		send(w, completionChunk{Object: "text_completion", Model: q.Model, Choices: []completionChoice{{Text: text[skip:]}}})
		skip = 0
	}
	stop := "length"
	send(w, completionChunk{Object: "text_completion", Model: q.Model, Choices: []completionChoice{{FinishReason: &stop}}})
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	_ = http.NewResponseController(w).Flush()
	return err == nil
}

func send(w http.ResponseWriter, c completionChunk) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	_ = http.NewResponseController(w).Flush()
}

func (e *Engine) takeDeath() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.dieAfter
	e.dieAfter = -1
	return n
}

func (e *Engine) timePerToken() cicadapitch.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := max(0, float64(e.running-1))
	return cicadapitch.Millis(float64(e.tokenTime) * (1 + e.growth*others))
}

// order takes an order to load or unload or to change the role.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o cicadapitch.EndpointOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequest)).Decode(&o); err != nil {
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
	e.loadWeights(o)
	e.orders = append(e.orders, o)
	writeJSON(w, o)
}
