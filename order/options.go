package order

import "cicadapitch.example/cicadapitch"

// Option configures a Service.
type Option func(*Service)

// WithMaxWait limits how long Execute waits until a change is in force on all
// hosts. The default is MaxWait. It does not limit the wait for the store.
func WithMaxWait(m cicadapitch.Millis) Option { return func(s *Service) { s.maxWait = m } }

// WithBootstrapKey allows the holder of key, such as the deployment key, to apply
// the first configuration and nothing else.
func WithBootstrapKey(key string) Option {
	return func(s *Service) { s.bootstrapHash = cicadapitch.HashKey(key) }
}
