package cloud

import "time"

// costMeter accumulates the rent of hosts. A price change also applies to running hosts, from the time of the change on.
type costMeter struct {
	accruedUntil time.Time // the sums include the rent up to this time
	micros       float64
	hostSeconds  float64
}

// accrue adds the rent since the last call. It must be called before each change of hosts or prices.
func (m *costMeter) accrue(hosts map[string]*host) {
	now := time.Now()
	seconds := now.Sub(m.accruedUntil).Seconds()
	m.accruedUntil = now
	for _, h := range hosts {
		m.hostSeconds += seconds
		m.micros += seconds * float64(h.PriceMicrosPerHour) / 3600
	}
}

// Cost is the accumulated rent of all hosts since the cloud was created.
type Cost struct {
	Micros      float64 `json:"micros"` // millionths of a currency unit
	HostSeconds float64 `json:"host_seconds"`
	Hosts       int     `json:"hosts"` // current number of hosts
}

// Cost returns the rent so far.
func (c *Cloud) Cost() Cost {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.accrue(c.hosts)
	return Cost{Micros: c.cost.micros, HostSeconds: c.cost.hostSeconds, Hosts: len(c.hosts)}
}

// SetPrice changes the price of a kind of host, in millionths of a currency unit per hour. It also applies to running
// hosts.
func (c *Cloud) SetPrice(k HostKind, microsPerHour int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.accrue(c.hosts)
	c.prices[k] = microsPerHour
	for _, h := range c.hosts {
		if (HostKind{h.FailureDomain, h.Class, h.Reclaimable}) == k {
			h.PriceMicrosPerHour = microsPerHour
		}
	}
	c.recordSnapshot()
}
