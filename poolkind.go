package cicadapitch

//go:generate go tool -modfile=tools/go.mod enumer -type=PoolKind -json -text -output=poolkind_enumer.go

// PoolKind says how the endpoints of a pool are spoken to.
type PoolKind int

// The kinds of pools.
const (
	// Service is a plain HTTP service with one answer a call.
	Service PoolKind = iota
	// Engine is a model engine with the OpenAI-style completion API.
	Engine
)
