package ingress_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// What a cold endpoint may get from all entries together in any second.
const (
	coldPerSecond = 9.2
	maxCold       = 18 // 1.5 times that, and 5
	coldFor       = 3 * time.Second
)

// coldFleet is a fleet in which one in coldEvery engines has returned cold and empty while the others
// are busy.
func coldFleet(t *testing.T, entries, engines, domains, coldEvery int) (f *limitedFleet, cold []int) {
	f = newLimitedFleetIn(t, entries, engines, domains)
	c := testConfig()
	s := c.Services[service]
	s.ColdFor, s.ColdPerSecond = coldFor, coldPerSecond
	c.Services[service] = s
	c.Version = 2
	f.put("op/config", platformtest.EncodeConfig(c))
	for i, e := range f.engines {
		e.Config.OmitLoad = false
		e.Config.Busy = e.Config.Slots
		if i%coldEvery == 0 {
			e.Config.Cold, e.Config.Busy = coldFor, 0
			f.put(e.Registration(false))
			cold = append(cold, i)
		}
	}
	f.sync()
	return f, cold
}

// Guards against several entries that find the same cold endpoint best at the same moment.
func TestColdEndpointsGetNoMoreThanTheyBear(t *testing.T) {
	is := is.New(t)
	f, cold := coldFleet(t, 60, 90, 4, 7)
	f.lateReports = true
	_, refused := f.run(coldFor, 45)
	got := 0
	for _, i := range cold {
		worst := f.maxArrivals(i, 0, time.Second)
		got += sum(f.arrivals[i])
		if worst > maxCold {
			t.Errorf("engine %d got %d in a second, %d allowed", i, worst, maxCold)
		}
	}
	is.Equal(refused, 0) // the others have room
	t.Logf("%d requests to %d cold endpoints in %v", got, len(cold), coldFor)
	is.True(float64(got) >= 0.5*coldPerSecond*float64(len(cold))*coldFor.Seconds())
}

// Guards against cold endpoints that stay unused while there are no others.
func TestColdEndpointsAreUsedWhereThereAreNoOthers(t *testing.T) {
	is := is.New(t)
	f, cold := coldFleet(t, 16, 8, 1, 1)
	f.lateReports = true
	answered, refused := f.run(coldFor, 20)
	worst := 0
	for _, i := range cold {
		worst = max(worst, f.maxArrivals(i, 0, time.Second))
	}
	t.Logf("answered %d, refused %d, worst second %d", answered, refused, worst)
	is.True(worst <= maxCold)
	is.True(float64(answered) >= 0.7*coldPerSecond*float64(len(cold))*coldFor.Seconds())
	f.run(time.Second, 20) // not cold any more
	_, refused = f.run(time.Second, 20)
	is.Equal(refused, 0)
}
