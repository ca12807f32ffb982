package gateway

import (
	"errors"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=lossCause -trimprefix=lossBy -output=losscause_enumer.go

// lossCause says why a request was not served.
type lossCause int

const (
	// lossByNothing means that the request was served.
	lossByNothing lossCause = iota
	// lossByConfiguration means that this host had no configuration, or an old one.
	lossByConfiguration
	// lossByStage means that the queue of a stage service was too long or its pieces failed.
	lossByStage
	// lossByCapacity means that no endpoint could take the request.
	lossByCapacity
	// lossByEndpoint means that each endpoint tried answered with a failure of its own.
	lossByEndpoint
	// lossByBreak means that an endpoint gave no answer or one that broke off, and no other one could
	// go on.
	lossByBreak
	// lossByDeadline means that the time of the request was over.
	lossByDeadline
	// lossByCaller means that the caller disconnected.
	lossByCaller
	// lossByStop means that this host was stopping.
	lossByStop
	// lossByKnowledge means that this host did not know enough of the endpoints.
	lossByKnowledge
	// lossByQuarantine means that the request, or a part of its prompt, crashes endpoints.
	lossByQuarantine
	// lossByMemory means that the memory of this host was short.
	lossByMemory
)

// stageRefusal is the error of a stage without results.
type stageRefusal struct{ refusal *cicadapitch.Error }

// Error implements error.
func (e stageRefusal) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e stageRefusal) Unwrap() error { return e.refusal }

// lossOf returns why a request was not served that ended with an error, or with an answer of the given
// status if err is nil.
func lossOf(end requestEnd, status int, err error) lossCause {
	var stage stageRefusal
	switch {
	case end == endedByAnswer && status >= http.StatusInternalServerError:
		return lossByEndpoint
	case end == endedByAnswer:
		return lossByNothing
	case end == endedByStop:
		return lossByStop
	case end == endedByMemory || errors.Is(err, platform.ErrNoMemory):
		return lossByMemory
	case end == endedByDeadline:
		return lossByDeadline
	case end == endedByCaller:
		return lossByCaller
	case errors.Is(err, errQuarantined) || errors.Is(err, errSuspected):
		return lossByQuarantine
	case errors.Is(err, membership.ErrKnowledgeOld):
		return lossByKnowledge
	case errors.As(err, &stage) || errors.Is(err, errInputLost):
		return lossByStage
	case end == endedByEndpoint:
		return lossByBreak
	}
	return lossByCapacity
}

// countLoss counts a request of a route that was not served.
func (g *Gateway) countLoss(route string, cause lossCause) {
	if cause != lossByNothing {
		g.metrics.Tagged(map[string]string{"Route": route, "Cause": cause.String()}).Counter("Unserved").Inc(1)
	}
}
