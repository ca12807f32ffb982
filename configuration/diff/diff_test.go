package diff_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration/diff"
)

func TestBetweenMatchesElementsByID(t *testing.T) {
	before := &cicadapitch.Configuration{
		Revision:  4,
		Zones:     []cicadapitch.Zone{{ID: "a"}, {ID: "b"}},
		Customers: []cicadapitch.Customer{{ID: "gone"}},
	}
	after := &cicadapitch.Configuration{
		Revision: 5,
		Zones:    []cicadapitch.Zone{{ID: "b", Out: true}, {ID: "a"}, {ID: "c"}},
	}
	var lines []string
	for _, e := range diff.Between(before, after) {
		lines = append(lines, e.String())
	}
	require.Equal(t, []string{
		"~ Zones[b].Out: false -> true",
		`+ Zones[c]: {"ID":"c","Region":"","Out":false}`,
		`- Customers[gone]: {"ID":"gone","KeyHash":"","Share":0,"Deadlines":null,"Out":false}`,
	}, lines)
	require.Empty(t, diff.Between(after, after))
	require.Empty(t, diff.Between(nil, &cicadapitch.Configuration{Revision: 1, Pools: []cicadapitch.Pool{}}))
}
