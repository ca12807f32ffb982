package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=PoolKind -json -text -output=poolkind_enumer.go

// PoolKind is the protocol of the endpoints of a pool.
type PoolKind int

// The kinds of pools.
const (
	// Service is a plain HTTP service that returns one answer per call.
	Service PoolKind = iota
	// Engine is a model engine with an OpenAI-style completion API.
	Engine
)
