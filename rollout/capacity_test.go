package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a sound version being halted for running on slow endpoints, against a slow version
// being excused by quick or slow ones, and against a figure without bounds excusing any time.
func TestAnswersAreJudgedAtUsualSpeed(t *testing.T) {
	is := is.New(t)
	a := Answer{Took: 340 * time.Millisecond, Wait: 170 * time.Millisecond, ShortPause: 85 * time.Millisecond, Expected: 100 * time.Millisecond}
	is.Equal(a.atUsualSpeed(), a)
	a.Factor = 1.7
	got := a.atUsualSpeed()
	is.Equal(got.Took.Round(time.Microsecond), 200*time.Millisecond)
	is.Equal(got.Wait.Round(time.Microsecond), 100*time.Millisecond)
	is.Equal(got.ShortPause.Round(time.Microsecond), 50*time.Millisecond)
	is.Equal(got.Expected, a.Expected)

	b := &baseline{}
	for range 2 * baselineMinAnswers {
		b.add(100*time.Millisecond, 100*time.Millisecond)
	}
	slow := func(took time.Duration, factor float64) bool {
		return b.slow(Answer{Model: "m", Took: took, Expected: 100 * time.Millisecond, Factor: factor}.atUsualSpeed(), false)
	}
	is.True(slow(425*time.Millisecond, 0))
	is.True(!slow(425*time.Millisecond, 4.25))
	is.True(slow(5*425*time.Millisecond, 4.25))
	is.True(slow(300*time.Millisecond, 0.7))
	is.True(slow(5*425*time.Millisecond, 100))
}
