package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

// byVersion returns those of the candidates whose version the rollout of the service allows for the next
// attempt. It returns all of them if there is none.
func (p *proxiedRequest) byVersion(list []fleet.Endpoint) []fleet.Endpoint {
	r := p.g.rollouts.of(p.service.Name)
	if r == nil {
		return list
	}
	if p.origin != nil { // all are of the version that began the stream
		return lo.Reject(list, func(e fleet.Endpoint, _ int) bool { return r.forbids(e.Version) })
	}
	now := p.g.clock.Now()
	if p.reserved == nil || p.reserved.rollout != r {
		p.reserved.release()
		p.reserved = r.reserve(now, p.forRollout())
	}
	return r.candidates(now, list, p.reserved.isNew, p.exclude)
}

// forRollout returns what a rollout needs to know of the request.
func (p *proxiedRequest) forRollout() rolloutRequest {
	req := rolloutRequest{route: p.route.Name, timeout: routeTimeout(p.route)}
	if prompt := p.request.Prompt; len(prompt) > 1 && p.route.SessionAffinity {
		req.session = p.request.Session()
		for _, part := range prompt[:len(prompt)-1] {
			req.shared += part.Tokens
		}
	}
	return req
}

// fallback returns the endpoints of the old version if the attempt was to go to the new one, or none.
func (p *proxiedRequest) fallback() []fleet.Endpoint {
	if p.reserved == nil || !p.reserved.isNew || p.origin != nil {
		return nil
	}
	return p.reserved.rollout.fallback(p.g.clock.Now(), p.ofListedVersions())
}

// recordArrival records that an endpoint has got the request. The next attempt chooses a version anew.
func (p *proxiedRequest) recordArrival(e fleet.Endpoint) {
	r := p.g.rollouts.of(p.service.Name)
	if r == nil {
		return
	}
	s := p.reserved
	if s == nil || s.rollout != r {
		s = &reservation{rollout: r}
	}
	s.recordSent(p.g.clock.Now(), e.ID)
	p.reserved = nil
}

// trackForRollout returns commit, which also records for a rollout of the service that the request is sent to
// an endpoint.
func (p *proxiedRequest) trackForRollout(e fleet.Endpoint, commit func() error) func() error {
	r := p.g.rollouts.of(p.service.Name)
	if r == nil {
		return commit
	}
	return func() error {
		err := commit()
		if err == nil {
			r.begin(p.g.clock.Now(), callKey{p, e.ID}, p.forRollout())
		}
		return err
	}
}

// untrack records that the request no longer runs at an endpoint.
func (p *proxiedRequest) untrack(id cicadapitch.EndpointID) { p.endForRollout(id, false) }

// recordForRollout records that the answer of an endpoint, or its first event, has come while the service has
// a rollout. An answer with a status of 500 or above is a failure.
func (p *proxiedRequest) recordForRollout(id cicadapitch.EndpointID, status int) {
	if status >= http.StatusInternalServerError {
		p.recordFailureForRollout(id)
		return
	}
	if r := p.g.rollouts.of(p.service.Name); r != nil {
		r.recordAnswer(p.g.clock.Now(), callKey{p, id})
	}
}

// recordFailureForRollout records that the call of an endpoint has failed by the endpoint's fault.
func (p *proxiedRequest) recordFailureForRollout(id cicadapitch.EndpointID) {
	p.endForRollout(id, true)
}

// recordLossForRollout records that the answer of an endpoint did not come or broke off, unless the attempt was
// canceled since the caller has left or the host stops. An answer that is not there by the caller's deadline
// is a failure: a version may hang.
func (p *proxiedRequest) recordLossForRollout(ctx context.Context, id cicadapitch.EndpointID) {
	if cause := context.Cause(ctx); cause == nil || errors.Is(cause, errSilent) || errors.Is(cause, errDeadline) {
		p.recordFailureForRollout(id)
	}
}

func (p *proxiedRequest) endForRollout(id cicadapitch.EndpointID, failed bool) {
	if r := p.g.rollouts.of(p.service.Name); r != nil {
		r.end(p.g.clock.Now(), callKey{p, id}, failed)
	}
}

// retryVersions returns those of the endpoints in list that a further attempt may go to while another one
// runs, and the choice of their version, which is nil if the service has no rollout.
func (p *proxiedRequest) retryVersions(list []fleet.Endpoint, exclude map[cicadapitch.EndpointID]bool) ([]fleet.Endpoint, *reservation) {
	r := p.g.rollouts.of(p.service.Name)
	if r == nil {
		return list, nil
	}
	now := p.g.clock.Now()
	s := r.reserve(now, p.forRollout())
	return r.candidates(now, list, s.isNew, exclude), s
}

// likelyVersions returns those of the endpoints in list that an attempt most likely may go to.
func (p *proxiedRequest) likelyVersions(list []fleet.Endpoint) []fleet.Endpoint {
	r := p.g.rollouts.of(p.service.Name)
	if r == nil {
		return list
	}
	return r.candidates(p.g.clock.Now(), list, r.shifted(), nil)
}

// routeTimeout returns the longest time that a request of a route may take.
func routeTimeout(route *catalog.Route) cicadapitch.Millis {
	if route.Timeout <= 0 {
		return maxRequestTime
	}
	return min(route.Timeout, maxRequestTime)
}
