package dispatch

// stepModel learns how the decode step grows with the batch: a least-squares line over load reports, in which older reports
// count less.
type stepModel struct {
	n, x, y, xx, xy float64
}

const stepMemory = 0.98 // weight that a report keeps at the next one

// observe takes a report of a batch size and its step in milliseconds.
func (m *stepModel) observe(batch int, millis float64) {
	if batch <= 0 || millis <= 0 {
		return // an idle engine has no step
	}
	x := float64(batch)
	m.n = m.n*stepMemory + 1
	m.x = m.x*stepMemory + x
	m.y = m.y*stepMemory + millis
	m.xx = m.xx*stepMemory + x*x
	m.xy = m.xy*stepMemory + x*millis
}

// millis returns the expected step at a batch size, 0 before the first report.
func (m *stepModel) millis(batch int) float64 {
	if m.n == 0 {
		return 0
	}
	mean := m.y / m.n
	spread := m.xx - m.x*m.x/m.n
	if spread < 1e-6*m.xx {
		return mean
	}
	slope := max(0, (m.xy-m.x*m.y/m.n)/spread)
	return max(0, mean+slope*(float64(batch)-m.x/m.n))
}

// largestBatch returns the largest batch up to slots whose step keeps the between-token target; 0 means no target.
func (m *stepModel) largestBatch(slots int, targetMillis float64) int {
	if targetMillis <= 0 {
		return slots
	}
	for n := slots; n > 1; n-- {
		if m.millis(n) <= targetMillis {
			return n
		}
	}
	return min(1, slots)
}
