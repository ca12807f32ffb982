package placement

import "cicadapitch.example/cicadapitch"

// CachedParts returns how many parts are recorded for an engine, and their tokens.
func (c *Chooser) CachedParts(id cicadapitch.EndpointID) (int, cicadapitch.Tokens) {
	s := c.engines[id]
	if s == nil {
		return 0, 0
	}
	return len(s.cached.parts), s.cached.tokens
}
