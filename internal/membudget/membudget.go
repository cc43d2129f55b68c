package membudget

import "sync/atomic"

// Budget counts reserved bytes against a limit. It is safe for concurrent use; a nil Budget is unlimited.
type Budget struct {
	limit  int64 // 0: unlimited
	parent *Budget
	used   atomic.Int64
}

// New returns a budget of limit bytes; 0: unlimited.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget of limit bytes, 0: unlimited, whose reservations count against b too.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, parent: b} }

// Reserve takes n bytes, and reports whether there was room.
func (b *Budget) Reserve(n int64) bool { return b.ReserveWithin(n, 0, 1) }

// ReserveWithin takes n bytes for who has own bytes, if no more than a share of the budget is taken then, or by nobody
// else. The rest is left for others.
func (b *Budget) ReserveWithin(n, own int64, share float64) bool {
	if b == nil || n <= 0 {
		return true
	}
	used := b.used.Add(n)
	if b.limit > 0 && used > b.limitFor(share, used == own+n) || !b.parent.Reserve(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// limitFor returns the limit of a reservation.
func (b *Budget) limitFor(share float64, alone bool) int64 {
	if alone {
		return b.limit
	}
	return int64(share * float64(b.limit))
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int64) {
	if b == nil || n <= 0 {
		return
	}
	b.used.Add(-n)
	b.parent.Release(n)
}

// Fits reports whether n bytes could be reserved if nothing else was.
func (b *Budget) Fits(n int64) bool {
	return b == nil || b.limit == 0 || n <= b.limit && b.parent.Fits(n)
}

// Filled reports whether more than a share of the budget is taken.
func (b *Budget) Filled(share float64) bool {
	return b != nil && b.limit > 0 && float64(b.used.Load()) > share*float64(b.limit)
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
