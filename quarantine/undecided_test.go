package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// register registers an incarnation of the endpoint of a number, and makes it known to the entry.
func (e *entry) register(number, boot int) fleet.Endpoint {
	e.t.Helper()
	engine := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprintf("b%d", number), Born: int64(boot), Service: "svc", Domain: "d", Version: "v1", Address: fmt.Sprintf("10.0.0.%d:80", number)})
	key, value := engine.Registration(false)
	if _, err := e.store.Put(context.Background(), key, value, 0); err != nil {
		e.t.Fatal(err)
	}
	e.sync()
	for _, ep := range e.fleet.View().Group("svc").Ready {
		if ep.Address == engine.Config.Address {
			return ep
		}
	}
	e.t.Fatal("endpoint is not known")
	return fleet.Endpoint{}
}

// Guards against losing crashes that nobody could tell from a lost link when they happened.
func TestABrokenAnswerCountsOnceItsEndpointIsReplaced(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	for n := range 3 {
		e.BrokeOff(subject(n), e.register(n, 1), 1, Started)
	}
	e.clock.Advance(settleDelay)
	e.Tick(context.Background())
	is.True(!e.Check(subject(9)).Quarantined) // a lost link explains all of it
	e.clock.Advance(2 * time.Second)
	e.register(0, 2)
	is.True(!e.Check(subject(9)).Quarantined)
	e.register(1, 2)
	is.True(e.Check(subject(9)).Quarantined)
}

// Guards against the same where another entry saw that the endpoint crashed.
func TestABrokenAnswerCountsOnceAnotherEntrySawTheCrash(t *testing.T) {
	is := is.New(t)
	e, other := newIsolatedEntry(t), newIsolatedEntry(t)
	e.learn()
	for n := range 3 {
		ep := e.register(n, 1)
		e.BrokeOff(subject(n), ep, 1, Started)
		other.Crashed(Subject{Request: Fingerprint(100 + n), Parts: []Fingerprint{middlePart + Fingerprint(n)}}, ep.ID, 1, Waiting)
	}
	e.Merge("other", other.Reports())
	is.True(e.Check(subject(9)).Quarantined)
}

// Guards against counting answers that a lost link broke off: their endpoints answer again, or end for another reason later.
func TestABrokenAnswerOfASoundEndpointIsNoCrash(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	for n := range 6 {
		ep := e.register(n, 1)
		e.BrokeOff(subject(n), ep, 1, Started)
		if n < 3 {
			e.Answers(ep.ID)
		}
	}
	e.clock.Advance(undecidedFor + time.Millisecond)
	e.Tick(context.Background())
	for n := range 6 {
		e.register(n, 2)
	}
	e.Tick(context.Background())
	is.True(!e.Check(subject(9)).Suspect)
}
