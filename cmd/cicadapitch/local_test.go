package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
	"cicadapitch.example/cicadapitch/order"
)

// TestOrdersOnLocalDeployment sends orders to the hosts of a local deployment. An
// order with a customer's key must be denied, an order during a store outage must be
// refused while requests are still served, and malformed HTTP requests must be
// rejected.
func TestOrdersOnLocalDeployment(t *testing.T) {
	l, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(t, err)
	require.NoError(t, l.Start(context.Background()))
	defer l.Stop()
	require.NoError(t, l.WaitReady(context.Background()))
	host := l.Seeds()[0]

	out, err := runAs(t, "sample-key-of-operator", "order", "zone-out", "a", "--host", host)
	require.NoError(t, err)
	require.Contains(t, out, "zone a out of service: accepted as revision 2, in force on 3 of 3 hosts")
	_, err = runAs(t, "sample-key-of-club", "order", "zone-in", "a", "--host", host)
	require.Equal(t, exitDenied, exitCode(err))

	l.Store.SetDown(true)
	_, err = runAs(t, "sample-key-of-operator", "order", "zone-in", "a", "--host", host)
	require.Equal(t, exitNotAccepted, exitCode(err), err)
	req := cicadapitch.Request{Pipeline: "answer", Input: "which slots are free"}
	_, err = client.New(l.Seeds(), "sample-key-of-club").Do(context.Background(), req, nil)
	require.NoError(t, err)

	require.Equal(t, http.StatusRequestEntityTooLarge, postZoneOrder(t, host, strings.Repeat("x", 100<<10), "key"))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, postZoneOrder(t, host, "{}", strings.Repeat("k", 2<<20)))
	require.Equal(t, http.StatusUnprocessableEntity, postZoneOrder(t, host, `{"Colour":"red"}`, "sample-key-of-operator"))
}

// runAs runs a command line with key as operator's key and returns its output.
func runAs(t *testing.T, key string, args ...string) (string, error) {
	t.Helper()
	t.Setenv(keyVariable, key)
	var w bytes.Buffer
	err := run(context.Background(), &w, args)
	return w.String(), err
}

// postZoneOrder sends body as a zone order and returns the HTTP status.
func postZoneOrder(t *testing.T, hostURL, body, key string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, hostURL+order.Path+"zone", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}
