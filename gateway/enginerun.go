package gateway

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/placement"
)

// setWork adds to the criteria what the choice of an engine by work needs, if the route's requests
// carry prompts.
func (p *proxiedRequest) setWork(criteria *placement.Criteria) {
	r := p.request
	if !p.route.SessionAffinity || len(r.Prompt) == 0 && r.PromptTokens == 0 {
		return
	}
	criteria.Prompt = r.Prompt
	if len(r.Prompt) == 0 {
		criteria.Prompt = []catalog.PromptPart{{Tokens: r.PromptTokens}}
	}
	criteria.Request, criteria.Route = string(r.ID), p.route.Name
	reports := p.g.membership.EngineReports()
	criteria.OtherWork, criteria.ReportAge = reports.Work, reports.Age
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	criteria.Output = p.g.outputLengths.Expected(p.route.Name, r.LengthHint, r.OutputTokens)
}

// EngineWork returns this host's outstanding work by engine.
func (g *Gateway) EngineWork() map[cicadapitch.EndpointID]placement.EngineWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Work()
}

// recordPrefilled records that the first event of a call came after took, and how far its prediction was
// off.
func (p *proxiedRequest) recordPrefilled(id cicadapitch.EndpointID, took cicadapitch.Millis) {
	run := p.runs[id]
	if run == nil {
		return
	}
	p.g.mu.Lock()
	p.g.chooser.RecordFirstEvent(p.g.clock.Now(), run, took)
	p.g.mu.Unlock()
	prediction := run.Prediction()
	if !prediction.Known {
		return
	}
	off, sign := took-cicadapitch.Millis(prediction.FirstEvent), "late"
	if off < 0 {
		off, sign = -off, "early"
	}
	p.g.metrics.Tagged(map[string]string{"Route": p.route.Name, "Sign": sign}).Histogram("FirstEventError", latencyBuckets).RecordDuration(off.Duration())
}

// recordOutput records the length of a whole answer. Each event of a stream is a token.
func (p *proxiedRequest) recordOutput(events int) {
	if p.request.ResumeAfter != "" || events == 0 {
		return
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.outputLengths.Record(p.route.Name, cicadapitch.Tokens(events))
}
