package membudget

import (
	"testing"

	"github.com/matryer/is"
)

func TestPartsCountAgainstTheWhole(t *testing.T) {
	is := is.New(t)
	whole := New(100)
	a, b := whole.Part(80), whole.Part(80)
	is.True(a.Reserve(80))
	is.True(!a.Reserve(1))
	is.True(!b.Reserve(21))
	is.Equal(b.Used(), int64(0))
	is.True(b.Reserve(20))
	is.True(whole.Filled(0.99))
	a.Release(80)
	is.Equal(whole.Used(), int64(20))
	is.True(New(0).Reserve(1 << 40)) // unlimited
}

// Guards against large reservations that leave nothing to others, and against one alone that never fits.
func TestSharesLeaveRoomUnlessAlone(t *testing.T) {
	is := is.New(t)
	b := New(100)
	is.True(b.ReserveWithin(60, 0, 0.5))  // alone
	is.True(b.ReserveWithin(20, 60, 0.5)) // for the same
	is.True(!b.ReserveWithin(1, 0, 0.5))
	is.True(b.Reserve(20))
	is.True(!b.ReserveWithin(1, 80, 0.5))
	b.Release(100)
	is.True(!b.ReserveWithin(101, 0, 0.5))
}
