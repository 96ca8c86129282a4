package quota

import "time"

// windowSlots is the number of parts of a window in windowSum. The sum covers up to one part more than a window.
const windowSlots = 32

// windowSum is the amount that all nodes admitted in the last window, as far as this node knows.
type windowSum struct {
	slotLength time.Duration
	slots      [windowSlots + 1]float64
	current    int64 // number of the current slot since the zero time
	sum        float64
}

func newWindowSum(window time.Duration) windowSum { return windowSum{slotLength: window / windowSlots} }

// advance drops what was admitted before the window that ends at the given time.
func (w *windowSum) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.slotLength)
	if slot <= w.current {
		return
	}
	for n := min(slot-w.current, int64(len(w.slots))); n > 0; n-- {
		i := (slot - n + 1) % int64(len(w.slots))
		w.sum -= w.slots[i]
		w.slots[i] = 0
	}
	w.current = slot
}

// add adds an amount that was admitted or became known now.
func (w *windowSum) add(amount float64) {
	w.slots[w.current%int64(len(w.slots))] += amount
	w.sum += amount
}
