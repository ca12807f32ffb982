//go:build deps

// Package deps pins the libraries of the house style while packages that use
// them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/coder/websocket"
	_ "github.com/danielgtaylor/huma/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/integrii/flaggy"
	_ "github.com/rs/zerolog"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "github.com/stretchr/testify/require"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/zeebo/xxh3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
