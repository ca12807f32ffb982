package gateway

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/internal/answer"
)

// recordRefusedAnswer logs and counts an answer of an endpoint that is not passed on since it is invalid or not known to
// be whole. id is empty for stage calls.
func (g *Gateway) recordRefusedAnswer(e catalog.Endpoint, id cicadapitch.RequestID, err error) {
	fault := answer.FaultOf(err).String()
	g.log.Warn().Str("Id", string(id)).Str("Endpoint", string(e.ID)).Str("Service", string(e.Service)).Str("Fault", fault).
		Err(err).Msg("answer refused")
	g.metrics.Tagged(map[string]string{"Service": string(e.Service), "Fault": fault}).Counter("AnswersRefused").Inc(1)
}
