package canary_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
)

// typicalReport is that of a host after 100 s at 10 requests a second on each of so many routes.
func typicalReport(routes int) canary.Report {
	tally := canary.NewTally(1<<41+77, "0123456789abcdef")
	for r := range routes {
		for i := range 1000 {
			c := tally.Begin(0, fmt.Sprintf("route-name-%d", r), i%12 == 0, true)
			c.End(cicadapitch.Instant(40+i%160), i%100 == 0)
		}
		tally.Begin(0, fmt.Sprintf("route-name-%d", r), false, true)
	}
	return tally.Report(100, canary.Canary)
}

func TestReportIsSmall(t *testing.T) {
	for routes, most := range map[int]int{1: 170, 3: 320, canary.MaxRoutes: 1300} {
		r := typicalReport(routes)
		b, err := cbor.Marshal(r)
		require.NoError(t, err)
		t.Logf("%d routes: %d bytes", routes, len(b))
		require.Less(t, len(b), most)
		var got canary.Report
		require.NoError(t, cbor.Unmarshal(b, &got))
		require.Equal(t, r, got)
	}
}

// Guards against a host that counts without bounds, such as one route for each caller.
func TestRoutesAreBounded(t *testing.T) {
	tally := canary.NewTally(1, "a")
	var c canary.Counts
	for i := range 1000 {
		name := fmt.Sprintf("route-%d", i)
		c.Record(name, false, false, 5, true)
		tally.Begin(0, name, true, true).End(10, false)
	}
	c.Record(strings.Repeat("x", 1000), false, false, 5, true)
	require.Len(t, c.Routes, canary.MaxRoutes)
	require.EqualValues(t, 1001-(canary.MaxRoutes-1), c.Routes[canary.OtherRoutes].Old.Answers)
	require.Len(t, tally.Report(0, canary.Canary).Counts.Routes, canary.MaxRoutes)
}

func TestAddMergesHosts(t *testing.T) {
	var a, b canary.Counts
	a.Record("r", false, false, 20, true)
	a.Record("r", true, true, 20, true)
	b.Record("r", false, false, 20, false)
	a.Add(b)
	require.EqualValues(t, 2, a.Routes["r"].Old.Answers)
	require.EqualValues(t, 1, a.Routes["r"].New.Failures)
	require.EqualValues(t, 1, total(a.Routes["r"].Old.Times), "the answer of a cold endpoint has no time")
	require.Zero(t, total(a.Routes["r"].New.Times), "a failure has no time")
}

func total(times canary.Times) (n uint32) {
	for _, c := range times {
		n += c
	}
	return n
}

// Guards against reports of other hosts with absurd or malformed figures.
func TestFiguresOfOtherHostsAreBounded(t *testing.T) {
	var v canary.VersionCounts
	v.Answers, v.Failures, v.Times[3] = 1<<31, 1<<32-1, 1<<32-1
	r := canary.Report{Phase: 77, Old: -5, New: 1 << 60, Incarnation: strings.Repeat("i", 1000), Counts: canary.Counts{Routes: map[string]canary.RouteCounts{}}}
	for i := range 100 {
		r.Counts.Routes[fmt.Sprint(i)] = canary.RouteCounts{Old: v}
	}
	r.Counts.Routes[strings.Repeat("x", 1000)] = canary.RouteCounts{}
	r = r.Checked()
	require.Equal(t, canary.Canary, r.Phase)
	require.Zero(t, r.Old)
	require.Equal(t, canary.MaxCount, r.New)
	require.Len(t, r.Incarnation, canary.MaxRouteName)
	require.Len(t, r.Counts.Routes, canary.MaxRoutes)
	for name, rc := range r.Counts.Routes {
		require.LessOrEqual(t, len(name), canary.MaxRouteName)
		require.EqualValues(t, canary.MaxCount, rc.Old.Failures)
		require.EqualValues(t, canary.MaxCount, rc.Old.Times[3])
	}

	var times canary.Times
	for _, b := range [][]byte{{200, 1}, {29, 1, 1}, {0, 0x80}, {0, 0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
		require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(times.UnmarshalBinary(b)), "%v", b)
	}
}

func TestTally(t *testing.T) {
	tally := canary.NewTally(7, "a")
	stream := tally.Begin(0, "r", true, true)
	refused := tally.Begin(0, "r", true, true)
	cold := tally.Begin(0, "r", true, false)
	old := tally.Begin(0, "r", false, true)
	stream.Answered(100)
	refused.Withdraw()
	r := tally.Report(1000, canary.Shift)
	require.Equal(t, []any{uint64(1), canary.Shift, 1, 2}, []any{r.Sequence, r.Phase, r.Old, r.New})
	require.EqualValues(t, 1, total(r.Counts.Routes["r"].New.Times), "the first event of the stream")
	require.Zero(t, total(r.Counts.Routes["r"].New.Pending), "a stream that has begun and a cold call are not pending")
	require.EqualValues(t, 1, total(r.Counts.Routes["r"].Old.Pending))

	stream.End(2000, true)
	stream.End(2000, true)
	refused.End(2000, true)
	cold.End(2000, false)
	old.End(2000, false)
	r = tally.Report(2000, canary.Shift)
	require.Equal(t, []any{uint64(2), 0, 0}, []any{r.Sequence, r.Old, r.New})
	require.EqualValues(t, 2, r.Counts.Routes["r"].New.Answers)
	require.EqualValues(t, 1, r.Counts.Routes["r"].New.Failures)
	require.Zero(t, total(r.Counts.Routes["r"].Old.Pending))
}
