package capacity

import "time"

const (
	// loadPeakWindow is how long the highest load counts for runners that serve already: a load that falls for some seconds, as
	// after a wave of refusals, comes back.
	loadPeakWindow = 8 * time.Second
	// sustainedLoadWindow is how long a load must last to count as sustained. The measurements of the nodes average over some
	// seconds already; with 2.5 s, on-demand runners came too late where a failure domain was reclaimed while all caches
	// were cold, and a twentieth more of the requests was late.
	sustainedLoadWindow = 750 * time.Millisecond
)

// Load is the load of a service, as numbers of runners that are busy all the time.
type Load struct {
	Peak      float64 // highest one within loadPeakWindow
	Sustained float64 // lowest one within sustainedLoadWindow
}

// LoadHistory derives the Load of a service from successive measurements.
type LoadHistory struct{ samples []loadSample }

type loadSample struct {
	busyRunners float64
	at          time.Time
}

// Add adds a measurement, at a later time than that of the previous one, and returns the load at that time.
func (h *LoadHistory) Add(busyRunners float64, at time.Time) Load {
	expired := 0
	for expired < len(h.samples) && at.Sub(h.samples[expired].at) >= loadPeakWindow {
		expired++
	}
	h.samples = append(h.samples[expired:], loadSample{busyRunners: busyRunners, at: at})
	load := Load{Sustained: busyRunners}
	for _, s := range h.samples {
		age := at.Sub(s.at)
		load.Peak = max(load.Peak, s.busyRunners)
		if age < sustainedLoadWindow {
			load.Sustained = min(load.Sustained, s.busyRunners)
		}
	}
	return load
}
