package dispatch

// decodeStepModel predicts the decode step from the batch size by a least-squares line over load reports, in which older
// reports count less.
type decodeStepModel struct {
	sumWeight, sumBatch, sumMillis, sumBatchSquared, sumBatchMillis float64
}

const reportDecay = 0.98 // weight that a report keeps when the next one is added

// observe adds a report of a batch size and its decode step in milliseconds.
func (m *decodeStepModel) observe(batch int, millis float64) {
	if batch <= 0 || millis <= 0 {
		return // an idle engine has no decode step
	}
	x := float64(batch)
	m.sumWeight = m.sumWeight*reportDecay + 1
	m.sumBatch = m.sumBatch*reportDecay + x
	m.sumMillis = m.sumMillis*reportDecay + millis
	m.sumBatchSquared = m.sumBatchSquared*reportDecay + x*x
	m.sumBatchMillis = m.sumBatchMillis*reportDecay + x*millis
}

// predictMillis returns the expected decode step in milliseconds at a batch size, 0 before the first report.
func (m *decodeStepModel) predictMillis(batch int) float64 {
	if m.sumWeight == 0 {
		return 0
	}
	mean := m.sumMillis / m.sumWeight
	squaredDeviation := m.sumBatchSquared - m.sumBatch*m.sumBatch/m.sumWeight
	if squaredDeviation < 1e-6*m.sumBatchSquared {
		return mean
	}
	slope := max(0, (m.sumBatchMillis-m.sumBatch*m.sumMillis/m.sumWeight)/squaredDeviation)
	return max(0, mean+slope*(float64(batch)-m.sumBatch/m.sumWeight))
}

// maxBatch returns the largest batch size up to slots whose decode step meets the between-token target in milliseconds. A
// target of 0 means that there is none.
func (m *decodeStepModel) maxBatch(slots int, targetMillis float64) int {
	if targetMillis <= 0 {
		return slots
	}
	for n := slots; n > 1; n-- {
		if m.predictMillis(n) <= targetMillis {
			return n
		}
	}
	return min(1, slots)
}
