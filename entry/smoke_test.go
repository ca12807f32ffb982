package entry_test

import (
	"context"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/stretchr/testify/require"
)

func TestServePassesOutputFromStageToStage(t *testing.T) {
	f := newFixture()
	s := f.server()
	a, err := s.Serve(context.Background(), cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"}, nil)
	require.NoError(t, err)
	require.Equal(t, "generate(encode(x))", a.Output)
	require.Len(t, a.Stages, 2)
}

var _ = entry.NewServer
