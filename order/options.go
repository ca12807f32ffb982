package order

import "cicadapitch.example/cicadapitch"

// Option changes a Service.
type Option func(*Service)

// WithMaxWait sets how long an order waits until it is in force everywhere.
func WithMaxWait(m cicadapitch.Millis) Option { return func(s *Service) { s.wait = m } }

// WithBootstrapKey lets the holder of key, such as the deployment's key, apply
// the first configuration and nothing else.
func WithBootstrapKey(key string) Option {
	return func(s *Service) { s.bootstrapHash = cicadapitch.HashKey(key) }
}
