package order_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzOrders sends arbitrary bodies to every order. No body may cause a server
// error, and the configuration may change only if the order was accepted.
func FuzzOrders(f *testing.F) {
	names := []string{
		"zone", "host", "endpoint", "pipeline", "pipeline-remove", "customer", "customer-service",
		"customer-remove", "deadline", "model", "configuration",
	}
	for _, body := range []string{
		``, `null`, `[]`, `{}`, `{"Change":null}`, `{"Change":"change-1"`, "\xff\xfe", `{"Change":1e999}`,
		`{"Change":"change-1","Zone":"a","Out":true,"Out":false}`,
		`{"Change":"change-1","Pipeline":{"ID":"x","Deadline":-1,"Stages":null}}`,
		`{"Change":"change-1","Action":"Explode","Customer":{}}`,
		`{"Change":"change-1","Base":-1,"Configuration":{"Weight":"heavy"}}`,
		`{"Change":"change-1","Base":1,"Configuration":null}`,
		strings.Repeat(`{"a":`, 5000),
		`{"Change":"` + strings.Repeat("x", 70<<10) + `"}`,
	} {
		f.Add(body)
	}
	server := newFixture(f, fakePropagation{1, 1})
	f.Fuzz(func(t *testing.T, body string) {
		for _, name := range names {
			before := server.Current().Revision
			w := server.post(name, operatorKey, body)
			require.Less(t, w.Code, http.StatusInternalServerError, "%s: %s", name, w.Body)
			if w.Code != http.StatusOK {
				require.Equal(t, before, server.Current().Revision, name)
			}
		}
	})
}
