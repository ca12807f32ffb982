package entry_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// TestRequestsThatOutlastTheHostAreNotTaken guards against requests that a stopping host takes and has
// to give up.
func TestRequestsThatOutlastTheHostAreNotTaken(t *testing.T) {
	f := newFixture()
	s := f.newServer()
	s.LimitDeadlines(f.clock.Now().Add(10 * cicadapitch.Second))
	for _, p := range []cicadapitch.PipelineID{"draft", "reserve"} {
		req := draft()
		req.Pipeline, req.Token = p, f.minter.Mint("club")
		_, err := s.Serve(context.Background(), req, nil)
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
		require.Positive(t, cicadapitch.AsError(err).RetryAfter)
		req.Token, req.Deadline = f.minter.Mint("club"), 5*cicadapitch.Second
		_, err = s.Serve(context.Background(), req, nil)
		require.NoError(t, err)
	}
	require.Equal(t, 1, f.runner.(*fakeRunner).starts("book"))
}

// TestRequestsThatAreGivenUpSayWhetherTheyMayHaveRun guards against requests that get no answer at the
// end of a planned stop, or a wrong one.
func TestRequestsThatAreGivenUpSayWhetherTheyMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		pipeline cicadapitch.PipelineID
		blocked  cicadapitch.StageID
		want     cicadapitch.Kind
	}{
		{"draft", "generate", cicadapitch.DeadlineExceeded},
		{"reserve", "encode", cicadapitch.DeadlineExceeded},
		{"reserve", "book", cicadapitch.OutcomeUnknown},
	} {
		t.Run(string(c.pipeline+"-"+cicadapitch.PipelineID(c.blocked)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				release := make(chan struct{})
				defer close(release)
				f.runner = newFakeRunner(blockStage(c.blocked, release))
				s := f.newServer()
				served := make(chan error, 1)
				go func() {
					req := draft()
					req.Pipeline, req.Token = c.pipeline, f.minter.Mint("club")
					_, err := s.Serve(context.Background(), req, nil)
					served <- err
				}()
				synctest.Wait()
				start := f.clock.Now()
				s.GiveUp()
				err := <-served
				require.Equal(t, c.want, cicadapitch.KindOf(err), "%v", err)
				require.ErrorContains(t, err, "ends")
				require.Zero(t, f.clock.Now().Sub(start))
			})
		})
	}
}
