package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/examples/quickstart"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/standin"
)

func TestEmulationServesEveryEndpointOfTheQuestionnaire(t *testing.T) {
	a, err := questionnaire.Read(bytes.NewReader(quickstart.Questionnaire), "answers")
	require.NoError(t, err)
	e := standin.NewEmulation(cicadapitch.NewSystemClock(), a, standin.WithSpeed(0))
	var engine *standin.Engine
	n := 0
	for _, p := range a.Pools {
		for range p.Endpoints {
			if got := e.Endpoints()[n]; *p.Kind == cicadapitch.Engine {
				engine = got.(*standin.Engine)
			}
			n++
		}
	}
	require.Len(t, e.Endpoints(), n)
	require.False(t, engine.Record().Cold)
	for range 200 {
		e.MakeRandomEngineCold(rand.New(rand.NewPCG(1, uint64(n))))
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

func TestReplaceAddressesReplacesEveryAddressOrFails(t *testing.T) {
	text := string(quickstart.Questionnaire)
	var urls []string
	for n := range 11 {
		urls = append(urls, fmt.Sprintf("http://127.0.0.1:%d", 18102+n))
	}
	replaced, err := standin.ReplaceAddresses(text, "answers", urls)
	require.NoError(t, err)
	a, err := questionnaire.Read(strings.NewReader(replaced), "answers")
	require.NoError(t, err)
	require.Equal(t, urls[0], a.Pools[0].Endpoints[0].Address)
	require.Equal(t, urls[10], a.Pools[4].Endpoints[1].Address)
	unquoted := strings.ReplaceAll(text, "'http://127.0.0.1:18112'", "http://127.0.0.1:18112")
	for n := range urls {
		urls[n] = fmt.Sprintf("http://127.0.0.1:%d", 19000+n)
	}
	_, err = standin.ReplaceAddresses(unquoted, "answers", urls)
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
}
