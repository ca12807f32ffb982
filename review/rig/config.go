package rig

// Route is a route of the configuration.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeout_ms"`
	TargetLatencyMs int    `json:"target_latency_ms"`
	TargetGapMs     int    `json:"target_gap_ms,omitempty"`
	Priority        int    `json:"priority"`
	Service         string `json:"service,omitempty"`
	// TrafficSplit is set in place of Service.
	TrafficSplit    []Split `json:"traffic_split,omitempty"`
	MaxAttempts     int     `json:"max_attempts"`
	StreamResume    bool    `json:"stream_resume,omitempty"`
	SessionAffinity bool    `json:"session_affinity,omitempty"`
}

// Split is the share of a service in the requests of a route.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a service of the configuration.
type Service struct {
	Name           string         `json:"name"`
	HealthPath     string         `json:"health_path"`
	MaxConnections int            `json:"max_connections"`
	ColdStartS     float64        `json:"cold_start_s,omitempty"`
	ColdPerS       float64        `json:"cold_per_s,omitempty"`
	Engine         map[string]int `json:"engine,omitempty"`
}

// Tenant is a customer and its keys.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// Config is the operator's configuration.
type Config struct {
	Version  int            `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []Tenant       `json:"tenants"`
}

// Key is the key of the tenant that every configuration has.
const Key = "key-of-club-1"

// NewConfig returns a configuration with a booking service and a route of each kind to it.
func NewConfig(version int) Config {
	return Config{
		Version: version,
		Routes: []Route{
			{Name: "book", Host: "h.example", Prefix: "/book/", Kind: "unsafe", TimeoutMs: 2500, TargetLatencyMs: 150, Service: "booking", MaxAttempts: 1},
			{Name: "look", Host: "h.example", Prefix: "/look/", Kind: "safe", TimeoutMs: 2500, TargetLatencyMs: 150, Service: "booking", MaxAttempts: 2},
		},
		Services: []Service{{Name: "booking", HealthPath: "/health", MaxConnections: 48}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		Tenants:  []Tenant{{Name: "club", Keys: []string{Key}}},
	}
}
