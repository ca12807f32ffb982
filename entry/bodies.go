package entry

import (
	"cicadapitch.example/cicadapitch"
	"github.com/samber/lo"
)

// RequestBody is the body of a request.
type RequestBody struct {
	Pipeline       string `json:"Pipeline" minLength:"1" maxLength:"256"`
	Input          string `json:"Input"`
	Prefix         string `json:"Prefix,omitempty" required:"false" maxLength:"4096" doc:"Groups requests whose prompts begin alike"`
	Deadline       int64  `json:"Deadline,omitempty" required:"false" doc:"Milliseconds that are left, 0 for the pipeline's own deadline"`
	Token          string `json:"Token,omitempty" required:"false" maxLength:"1024"`
	IdempotencyKey string `json:"IdempotencyKey,omitempty" required:"false" maxLength:"256"`
	Repeated       bool   `json:"Repeated,omitempty" required:"false" doc:"True where the request was sent before under the same token or key"`
}

func (b RequestBody) request(customer cicadapitch.CustomerID) cicadapitch.Request {
	return cicadapitch.Request{
		Customer:       customer,
		Pipeline:       cicadapitch.PipelineID(b.Pipeline),
		Input:          b.Input,
		Prefix:         b.Prefix,
		Deadline:       cicadapitch.Millis(b.Deadline),
		Token:          cicadapitch.Token(b.Token),
		IdempotencyKey: b.IdempotencyKey,
		Repeated:       b.Repeated,
	}
}

// AnswerBody is the body of a whole answer.
type AnswerBody struct {
	Request string      `json:"Request"`
	Output  string      `json:"Output"`
	Stages  []StageBody `json:"Stages"`
}

// StageBody reports how one stage of a request was run. Queued and Served are in
// milliseconds.
type StageBody struct {
	Stage    string  `json:"Stage"`
	Endpoint string  `json:"Endpoint"`
	Zone     string  `json:"Zone"`
	Attempts int     `json:"Attempts"`
	Queued   int64   `json:"Queued"`
	Served   int64   `json:"Served"`
	Tokens   int64   `json:"Tokens"`
	Cost     float64 `json:"Cost"`
}

// ChunkBody is a chunk of the output of a stage. Index counts from 0 within the
// attempt. The output of the stage is the concatenation of its chunks' texts.
type ChunkBody struct {
	Stage   string `json:"Stage"`
	Attempt int    `json:"Attempt"`
	Index   int    `json:"Index"`
	Text    string `json:"Text"`
}

func newChunkBody(c cicadapitch.Chunk) ChunkBody {
	return ChunkBody{Stage: string(c.Attempt.Stage), Attempt: c.Attempt.Number, Index: c.Index, Text: c.Text}
}

func newAnswerBody(a cicadapitch.Answer) *AnswerBody {
	stages := lo.Map(a.Stages, func(r cicadapitch.StageReport, _ int) StageBody {
		return StageBody{
			Stage:    string(r.Stage),
			Endpoint: string(r.Endpoint),
			Zone:     string(r.Zone),
			Attempts: r.Attempts,
			Queued:   int64(r.Queued),
			Served:   int64(r.Served),
			Tokens:   int64(r.Tokens),
			Cost:     float64(r.Cost),
		}
	})
	return &AnswerBody{Request: string(a.Request), Output: a.Output, Stages: stages}
}
