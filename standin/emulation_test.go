package standin_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/examples/quickstart"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/standin"
)

func TestEmulationHasEachEndpointOfTheAnswers(t *testing.T) {
	a, err := questionnaire.Read(bytes.NewReader(quickstart.Questionnaire), "answers")
	require.NoError(t, err)
	e := standin.NewEmulation(cicadapitch.NewSystemClock(), a, standin.WithSpeed(0))
	var engine *standin.Engine
	n := 0
	for _, p := range a.Pools {
		for _, want := range p.Endpoints {
			got := e.Endpoints()[n]
			require.Equal(t, want.Address, got.Address)
			if *p.Kind == cicadapitch.Engine {
				engine = got.Handler.(*standin.Engine)
			}
			n++
		}
	}
	require.Len(t, e.Endpoints(), n)
	require.False(t, engine.Record().Cold)
	for range 200 {
		e.ChillOne(rand.New(rand.NewPCG(1, uint64(n))))
		n++
	}
	require.True(t, engine.Record().Cold)
	server := httptest.NewServer(engine)
	defer server.Close()
	r, err := driver.NewEngine().Call(context.Background(),
		cicadapitch.Call{Endpoint: cicadapitch.Endpoint{Address: server.URL}, Input: "x", MaxTokens: 3, Timeout: cicadapitch.Minute}, nil)
	require.NoError(t, err)
	require.Equal(t, standin.Completion("x", 3), r.Output)
}
