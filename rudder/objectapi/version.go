package objectapi

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Version is the version of an object or the revision of the store as a whole. Numbers increase within an epoch. A new
// epoch begins when the store is restored from an older copy: it loses its latest changes, and gives out their numbers again
// for other ones.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Epoch  int64    // number of times that the store was restored
	Number int64
}

// Compare orders versions by epoch and then by number.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Number, other.Number))
}

// numbersPerEpoch is the difference between the ordinals of equal numbers in two successive epochs: more than there are numbers
// in one epoch.
const numbersPerEpoch = 1 << 40

// Ordinal returns v as one number, in the order of Compare. It is the number itself in epoch 0.
func (v Version) Ordinal() int64 { return v.Epoch*numbersPerEpoch + v.Number }

// VersionOfOrdinal returns the version with an ordinal.
func VersionOfOrdinal(ordinal int64) Version {
	return Version{Epoch: ordinal / numbersPerEpoch, Number: ordinal % numbersPerEpoch}
}

// IsZero reports whether v is the zero Version, which no object and no revision has.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the number, after the epoch and a dot unless the epoch is 0.
func (v Version) String() string {
	if v.Epoch == 0 {
		return strconv.FormatInt(v.Number, 10)
	}
	return strconv.FormatInt(v.Epoch, 10) + "." + strconv.FormatInt(v.Number, 10)
}

// UnmarshalText decodes what String returns.
func (v *Version) UnmarshalText(text []byte) error {
	epochText, numberText, hasEpoch := strings.Cut(string(text), ".")
	if !hasEpoch {
		epochText, numberText = "0", epochText
	}
	epoch, epochErr := strconv.ParseInt(epochText, 10, 64)
	number, numberErr := strconv.ParseInt(numberText, 10, 64)
	if epochErr != nil || numberErr != nil {
		return errors.Errorf("version %.40q: neither a number nor an epoch, a dot and a number", text)
	}
	*v = Version{Epoch: epoch, Number: number}
	return nil
}

// MarshalJSON encodes a version of epoch 0 as its number, any other as the text that String returns.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Epoch == 0 {
		return json.Marshal(v.Number)
	}
	return json.Marshal(v.String())
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (v *Version) UnmarshalJSON(raw []byte) error {
	var number int64
	if json.Unmarshal(raw, &number) == nil {
		*v = Version{Number: number}
		return nil
	}
	var text string
	if json.Unmarshal(raw, &text) != nil || !strings.Contains(text, ".") {
		return errors.Errorf("version %.40q: neither a whole number nor a string of an epoch, a dot and a number", raw)
	}
	return v.UnmarshalText([]byte(text))
}
