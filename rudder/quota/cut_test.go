package quota

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/traffic"
)

var fleetTolerance = Tolerance{Overage: 0.1, Slack: 140_000}

// organisationOf returns an organisation whose rate times the window plus burst is the given amount, with a burst of the given
// seconds of its rate.
func organisationOf(amount, burstSeconds float64) *traffic.Organisation {
	rate := amount / (fleetWindow.Seconds() + burstSeconds)
	return &traffic.Organisation{Name: "o", CountsTokens: true, RatePerSecond: rate, Burst: burstSeconds * rate}
}

// Measured on a day of 66 hosts: 35% of them were cut off from 1 to 13 s, one organisation sent six times its usual, and
// 11,044,403 tokens ran in 8 s where 11,006,586 were allowed. Guards against a level that both sides of a cut spend, against what
// is admitted until the cut is noticed, and against a limit that is lost while the nodes are cut off or after it.
func TestLimitHoldsWhileHostsAreCutOff(t *testing.T) {
	const cutTime = 12 * time.Second
	for _, burstSeconds := range []float64{1, 4} {
		for _, factor := range []float64{1, 6} {
			o := organisationOf(9_880_000, burstSeconds)
			f := newFleet(66, 1, fleetTolerance)
			f.loss = 0.01
			wanted := &demand{rate: factor * o.RatePerSecond, size: 2900}
			f.run(o, wanted, time.Second)
			f.cut(0.35)
			f.run(o, wanted, cutTime)
			upToEnd, askedUpToEnd := f.inLast(cutTime+time.Second), f.askedInLast(cutTime+time.Second)
			f.cut(0)
			f.run(o, wanted, 8*time.Second)
			after, askedAfter := f.inLast(6*time.Second), f.askedInLast(6*time.Second)
			most, limit := f.mostInWindow(), allowed(o, fleetTolerance)
			t.Logf("burst of %.0f s, %.0f times the rate: %.3f of what is allowed in any 8 s; of rate and burst %.3f up to the end of the cut, of the rate %.3f after", burstSeconds, factor,
				most/limit, upToEnd/(o.RatePerSecond*13+o.Burst), after/6/o.RatePerSecond)
			if most > limit {
				t.Errorf("burst of %.0f s, %.0f times the rate: %.0f tokens were admitted in 8 s, want at most %.0f", burstSeconds, factor, most, limit)
			}
			if want := 0.95 * min((cutTime+time.Second).Seconds()*o.RatePerSecond+o.Burst, askedUpToEnd); upToEnd < want {
				t.Errorf("burst of %.0f s, %.0f times the rate: %.0f tokens up to the end of the cut, want at least %.0f", burstSeconds, factor, upToEnd, want)
			}
			if want := 0.95 * min(6*o.RatePerSecond, askedAfter); after < want {
				t.Errorf("burst of %.0f s, %.0f times the rate: %.0f tokens from 2 s after the cut on, want at least %.0f", burstSeconds, factor, after, want)
			}
		}
	}
}

// Guards against a limit of which nodes that hear each other use only a part: when its requests come through one, few or all
// nodes, when it is small compared with its requests, and when it sends a burst.
func TestNodesUseTheWholeLimit(t *testing.T) {
	for _, c := range []struct {
		amount float64
		nodes  int
	}{{400_000, 1}, {400_000, 66}, {9_880_000, 1}, {9_880_000, 10}, {9_880_000, 66}} {
		o := organisationOf(c.amount, 1)
		whole, limit := o.RatePerSecond*fleetWindow.Seconds()+o.Burst, allowed(o, fleetTolerance)
		f := newFleet(66, 2, fleetTolerance)
		f.loss = 0.01
		wanted := &demand{rate: 0.5 * o.RatePerSecond, size: 1800, nodes: c.nodes}
		f.run(o, wanted, 6*time.Second)
		if served := f.inLast(5*time.Second) / f.askedInLast(5*time.Second); served < 0.95 {
			t.Errorf("%+v, half the rate: %.3f of the requests were admitted", c, served)
		}
		// The bucket is nearly full: eight times the rate is a burst.
		wanted.rate = 8 * o.RatePerSecond
		f.run(o, wanted, fleetWindow)
		burst := f.inLast(fleetWindow)
		if burst < 0.95*whole {
			t.Errorf("%+v: %.0f admitted in the 8 s after the begin of a burst, want at least %.0f", c, burst, 0.95*whole)
		}
		// What the burst took above the limit is repaid.
		wanted.rate = 1.2 * o.RatePerSecond
		f.run(o, wanted, 8*time.Second)
		sum, want := f.inLast(16*time.Second), 0.95*(16*o.RatePerSecond+o.Burst)
		if sum < want {
			t.Errorf("%+v: %.0f admitted in 16 s, want at least %.0f", c, sum, want)
		}
		most := f.mostInWindow()
		if most > limit {
			t.Errorf("%+v: %.0f admitted in 8 s, want at most %.0f", c, most, limit)
		}
		t.Logf("%+v: %.3f of rate and burst in 8 s, %.3f in 16 s; most %.3f of what is allowed", c, burst/whole, 0.95*sum/want, most/limit)
	}
}
